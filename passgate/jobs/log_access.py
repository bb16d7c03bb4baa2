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


def judge_log_access(responses: Sequence[AliveResponse], asked: int) -> LogAccess:
    """Return why this daemon can't read a partition.

    An outage of the whole log needs the word of most daemons that were asked, as those that do not respond or
    do not tell may read the log.

    Args:
        responses: responses of other daemons.
        asked: number of daemons that were asked; zero only if there are no others.
    """
    if any(response.partition_answers for response in responses):
        return LogAccess.CUT_OFF
    if any(response.log_answers and response.partition_answers is False for response in responses):
        return LogAccess.OUTAGE
    if any(response.log_answers for response in responses):
        return LogAccess.CUT_OFF
    without_log = [response for response in responses if response.log_answers is False]
    return LogAccess.OUTAGE if not asked or 2 * len(without_log) > asked else LogAccess.CUT_OFF
