"""Probes whether a replica's process has exited, by connecting to its port.

A machine on which no process listens at the port refuses the connection.  No response proves nothing: the
machine may be down, unreachable or overloaded.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

logger = logging.getLogger("passgate.quarantine")

SECOND_PROBE_DELAY_S = 0.02
"""Pause before the second probe; an exiting process may close its connections before its listening socket."""
CONNECT_TIMEOUT_S = 0.2
"""Timeout of a connection attempt."""


async def has_exited(address: str) -> bool:
    """Return whether one of two connections to ``IP:PORT`` is refused, so that the process has exited.

    The first is made at once, so that a crash is usually known before a caller's retry arrives.
    """
    if await _refuses_connections(address):
        return True
    await asyncio.sleep(SECOND_PROBE_DELAY_S)
    return await _refuses_connections(address)


async def _refuses_connections(address: str) -> bool:
    """Return whether a connection is refused; false if it is accepted or fails in another way."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError) as error:
        logger.info("replica_not_reached", extra={"address": address, "error": str(error)})
        return False
    writer.close()
    with contextlib.suppress(OSError):  # the connection carried no data, so errors on closing do not matter
        await writer.wait_closed()
    return False
