"""Ways to bring new weights into engines that have running streams.

``swap_running`` is in force; the others stay as baselines by name, see
docs/design/rollout.md for the comparison.

>>> SWAP_MODES["swap_running"].drains
False
"""

from __future__ import annotations

import msgspec

from passgate.errors import InvalidRequest
from passgate.rollout.types import RolloutSettings


class SwapMode(msgspec.Struct, frozen=True, kw_only=True):
    """How activation treats running streams and capacity."""

    name: str
    drains: bool
    """Wait until the engine is idle before the swap; it takes no new work meanwhile."""
    all_at_once: bool
    """Start only when every replica has staged, then swap all without a capacity floor."""


SWAP_MODES = {
    mode.name: mode
    for mode in (
        SwapMode(name="swap_running", drains=False, all_at_once=False),
        SwapMode(name="drain", drains=True, all_at_once=False),
        SwapMode(name="pause", drains=False, all_at_once=True),
        SwapMode(name="full_drain", drains=True, all_at_once=True),
    )
}
"""Swap modes by name: streams go on over the swap (``swap_running``, ``pause``) or end
before it (``drain``, ``full_drain``), replica by replica or all at once."""


def settings_for_mode(settings: RolloutSettings) -> RolloutSettings:
    """Return the settings with what their swap mode implies."""
    if not swap_mode(settings.swap_mode).all_at_once:
        return settings
    return msgspec.structs.replace(
        settings, capacity_floor=0.0, zone_capacity_floor=0.0, wait_for_all_staged=True
    )


def swap_mode(name: str) -> SwapMode:
    """Return a mode by name; raises InvalidRequest when there is none."""
    try:
        return SWAP_MODES[name]
    except KeyError:
        raise InvalidRequest(
            f"no swap mode {name!r}", field="swap_mode", expected=", ".join(SWAP_MODES)
        ) from None
