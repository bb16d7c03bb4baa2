"""Modes of activating new weights on engines that have running streams.

``swap_running`` is the default; the other modes are baselines, which
docs/design/rollout.md compares with it.

>>> SWAP_MODES["swap_running"].drains
False
"""

from __future__ import annotations

import msgspec

from passgate.errors import InvalidRequest
from passgate.rollout.types import RolloutSettings


class SwapMode(msgspec.Struct, frozen=True, kw_only=True):
    """How an activation treats running streams and the capacity floors."""

    name: str
    drains: bool
    """The engine takes no new work and becomes idle before the swap."""
    all_at_once: bool
    """Activation starts when every replica has staged, and ignores the capacity floors."""


SWAP_MODES = {
    mode.name: mode
    for mode in (
        SwapMode(name="swap_running", drains=False, all_at_once=False),
        SwapMode(name="drain", drains=True, all_at_once=False),
        SwapMode(name="pause", drains=False, all_at_once=True),
        SwapMode(name="full_drain", drains=True, all_at_once=True),
    )
}
"""Swap modes by name.  Streams continue after the swap in ``swap_running`` and ``pause``, and
end before it in ``drain`` and ``full_drain``; ``pause`` and ``full_drain`` swap all replicas
at once."""


def settings_for_mode(settings: RolloutSettings) -> RolloutSettings:
    """Return the settings with the capacity floors and waiting that their swap mode requires."""
    if not swap_mode(settings.swap_mode).all_at_once:
        return settings
    return msgspec.structs.replace(
        settings, capacity_floor=0.0, zone_capacity_floor=0.0, wait_for_all_staged=True
    )


def swap_mode(name: str) -> SwapMode:
    """Return the swap mode of a name; raises InvalidRequest for an unknown name."""
    try:
        return SWAP_MODES[name]
    except KeyError:
        raise InvalidRequest(
            f"no swap mode {name!r}", field="swap_mode", expected=", ".join(SWAP_MODES)
        ) from None
