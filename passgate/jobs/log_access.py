"""Tells an outage of the log from a daemon that alone is cut off from it, by the answers of other daemons.

>>> judge_log_access([AliveResponse(writer="d2.a", log_answers=True, partition_answers=True)], asked=3)
<LogAccess.CUT_OFF: 'cut_off'>
>>> judge_log_access([AliveResponse(writer="d2.a", log_answers=False)], asked=1)
<LogAccess.OUTAGE: 'outage'>
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from passgate.jobs.liveness import AliveResponse


class LogAccess(enum.Enum):
    """Why a daemon can't read a partition."""

    OUTAGE = "outage"
    """The log answers no daemon, at least not for this partition."""
    CUT_OFF = "cut_off"
    """The log may answer other daemons."""


def judge_log_access(
    responses: Sequence[AliveResponse], asked: int, own_zone: str | None = None
) -> LogAccess:
    """Return why this daemon can't read a partition.

    An outage of the whole log needs the word of half of the daemons that were asked, as those that do not
    respond may read the log, and of a daemon in another zone, as a zone may be cut off as a whole.  A daemon
    that responds without telling may read the log, too.

    Args:
        responses: responses of other daemons.
        asked: number of daemons that were asked; zero only if there are no others.
        own_zone: zone of this daemon; None if no daemon of another zone is known.
    """
    if any(response.partition_answers for response in responses):
        return LogAccess.CUT_OFF
    if any(response.log_answers and response.partition_answers is False for response in responses):
        return LogAccess.OUTAGE
    if any(response.log_answers for response in responses):
        return LogAccess.CUT_OFF
    if any(response.log_answers is None for response in responses):
        return LogAccess.CUT_OFF
    zones_without_log = [response.zone for response in responses if response.log_answers is False]
    is_widespread = own_zone is None or any(zone != own_zone for zone in zones_without_log)
    is_outage = is_widespread and 2 * len(zones_without_log) >= asked
    return LogAccess.OUTAGE if is_outage else LogAccess.CUT_OFF
