"""A client's connection that is used for one request after the other until it is closed."""

import asyncio

MOST_HEAD_BYTES = 65_536


class AnswerCut(Exception):
    """The connection ended before the whole answer."""


class KeptConnection:
    """Speaks HTTP/1.1 with bodies of a told length, which is all that daemons answer with here."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None
        self.open = False
        """Whether the daemon has not said that it closes the connection."""

    async def __aenter__(self):
        host, _, port = self._address.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port), limit=MOST_HEAD_BYTES)
        self.open = True
        return self

    async def __aexit__(self, *failure):
        self.open = False
        self._writer.close()

    async def call(self, method, path, headers, body, timeout_s):
        """Return status and body; raises AnswerCut."""
        lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in headers.items())]
        head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
        try:
            self._writer.write(head.encode() + body)
            await self._writer.drain()
            async with asyncio.timeout(timeout_s):
                return await self._read_answer()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.open = False
            raise AnswerCut(str(error)) from error

    async def _read_answer(self):
        status_line, *lines = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.open = False
        return int(status_line.split()[1]), body
