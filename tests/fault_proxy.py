"""TCP proxy on a loopback address that injects faults into its connections."""

import asyncio
import contextlib
import random
import socket

CONNECTION_BACKLOG = 2048
"""Connections that may wait to be accepted, enough for many daemons that connect again at the same time."""


class FaultProxy:
    """Forwards TCP connections to a target; a test injects faults by changing fields while it runs.

    Delays vary at random between half and one and a half times ``delay_s``; a ``seed`` makes them repeatable.
    The target sees the connections come from ``source_host``, if one is given.
    """

    def __init__(self, target, seed=0, source_host=""):
        self.target = target
        self.source_host = source_host
        self.delay_s = 0.0
        """Mean delay of each chunk of bytes, in either direction."""
        self.drops_to_target = False
        """Whether bytes to the target are dropped."""
        self.drops_from_target = False
        """Whether bytes from the target are dropped."""
        self.refuses_connections = False
        """Whether new connections are closed at once."""
        self.address = ""
        self._server = None
        self._writers = set()
        self._random = random.Random(seed)

    async def start(self):
        """Listen on a free port and return the proxy."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0, backlog=CONNECTION_BACKLOG
        )
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    def heal(self):
        """Stop all faults; if bytes were being dropped, reset all connections, as their streams have gaps."""
        dropped_bytes = self.drops_to_target or self.drops_from_target
        self.delay_s, self.drops_to_target, self.drops_from_target, self.refuses_connections = (
            0.0,
            False,
            False,
            False,
        )
        if dropped_bytes:
            self.reset_connections()

    def reset_connections(self):
        """Reset every open connection."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            writer.transport.abort()

    async def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset_connections()

    async def _handle_connection(self, reader, writer):
        self._writers.add(writer)
        target_host, _, target_port = self.target.rpartition(":")
        target_writer = None
        try:
            if self.refuses_connections:
                return
            source = (self.source_host, 0) if self.source_host else None
            target_reader, target_writer = await asyncio.open_connection(
                target_host, int(target_port), local_addr=source
            )
            self._writers.add(target_writer)
            await self._forward_until_closed(
                self._forward(reader, target_writer, "drops_to_target"),
                self._forward(target_reader, writer, "drops_from_target"),
            )
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    self._writers.discard(open_writer)
                    open_writer.close()

    async def _forward_until_closed(self, *directions):
        """Run both directions until one has ended, then cancel the other, as it would keep sockets open."""
        tasks = [asyncio.ensure_future(direction) for direction in directions]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()

    async def _forward(self, reader, writer, drop_attribute):
        """Forward one direction until its end; drop bytes while the attribute named is true."""
        try:
            while data := await reader.read(65536):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s * self._random.uniform(0.5, 1.5))
                if not getattr(self, drop_attribute):
                    writer.write(data)
                    await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()
        finally:
            with contextlib.suppress(ConnectionError, OSError):
                writer.write_eof()
            self._writers.discard(writer)
