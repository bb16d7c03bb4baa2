"""Probes whether a replica's process has exited, by connecting to its port.

The machine of an exited process refuses the connection at once, and a live replica accepts it.  A machine
that is down or unreachable does not respond, which proves nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging

logger = logging.getLogger("passgate.quarantine")

SECOND_PROBE_DELAY_S = 0.02
"""Pause before the second probe; an exiting process may close its listener after its connections."""
CONNECT_TIMEOUT_S = 0.2
"""Timeout of a connection attempt; long against a round trip between zones."""


async def has_exited(address: str) -> bool:
    """Return whether the process at ``IP:PORT`` has exited, that is, refuses connections.

    The first probe is made at once, so that its result is known before a caller's retry arrives.
    """
    if await _refuses_connections(address):
        return True
    await asyncio.sleep(SECOND_PROBE_DELAY_S)
    return await _refuses_connections(address)


async def _refuses_connections(address: str) -> bool:
    """Return whether a connection is refused; false also when there is no response."""
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
