"""A client connection for several requests, one after the other."""

import asyncio

MAX_HEAD_BYTES = 65_536


class AnswerCutOff(Exception):
    """The connection ended, or the timeout passed, before the answer was complete."""


class ReusedConnection:
    """An HTTP/1.1 connection; bodies need a Content-Length, as chunked encoding is not supported."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None
        self.is_open = False
        """Whether the daemon has not announced that it closes the connection."""

    async def __aenter__(self):
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
        self.is_open = True
        return self

    async def __aexit__(self, *failure):
        self.is_open = False
        self._writer.close()

    async def send(self, method, path, headers, body, timeout_s):
        """Send one request and return status and body of the answer; raises AnswerCutOff."""
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
        try:
            self._writer.write(head.encode() + body)
            await self._writer.drain()
            async with asyncio.timeout(timeout_s):
                return await self._read_answer()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.is_open = False
            raise AnswerCutOff(str(error)) from error

    async def _read_answer(self):
        status_line, *lines = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.is_open = False
        return int(status_line.split()[1]), body
