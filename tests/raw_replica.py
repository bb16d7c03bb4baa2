"""A replica in trouble, which sends raw bytes to each connection."""

import asyncio


class RawReplica:
    """Sends ``start`` some time after a request's head, then ``rest`` until the connection is closed."""

    def __init__(self, start, rest=b"", delay_s=0.0):
        self._start, self._rest, self._delay_s = start, rest, delay_s
        self._server = None
        self.connection_count = 0

    @classmethod
    async def replace(cls, world, replica_id, service, start, rest=b"", delay_s=0.0, **fields):
        """Put a raw replica at the address of a new one of a world, whose entry stays; return it."""
        replica = world.replica(replica_id, service, **fields)
        port = int(replica.address.rpartition(":")[2])
        await replica.stop()
        raw = cls(start, rest, delay_s)
        raw._server = await asyncio.start_server(raw._serve, "127.0.0.1", port)
        return raw

    async def _serve(self, reader, writer):
        self.connection_count += 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(self._delay_s)
            writer.write(self._start)
            if self._rest:
                await write_endlessly(writer, self._rest, [])
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def close(self):
        self._server.close()


async def write_endlessly(writer, data, sent):
    """Write data again and again until the connection is closed; append each size to ``sent``."""
    while not writer.is_closing():
        writer.write(data)
        sent.append(len(data))
        await writer.drain()
        await asyncio.sleep(0)
