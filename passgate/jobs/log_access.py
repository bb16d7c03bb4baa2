"""Tells an outage of the log from a daemon that alone is cut off from it, by the answers of other daemons.

>>> judge_log_access([AliveResponse(writer="d2.a", log_age_s=0.2, partition_age_s=0.4)], asked=3)
<LogAccess.CUT_OFF: 'cut_off'>
>>> judge_log_access([AliveResponse(writer="d2.a", log_age_s=4.0)], asked=3)
<LogAccess.OUTAGE: 'outage'>
"""

from __future__ import annotations

import enum
from collections.abc import Sequence

from passgate.jobs.liveness import AliveResponse


class LogAccess(enum.Enum):
    """Why a daemon can't read a partition."""

    OUTAGE = "outage"
    """The log does not answer the daemons that were asked, at least not for this partition."""
    CUT_OFF = "cut_off"
    """The log answers another daemon, or no other daemon has answered."""


def judge_log_access(responses: Sequence[AliveResponse], asked: int) -> LogAccess:
    """Return why this daemon can't read a partition.

    Args:
        responses: responses of other daemons.
        asked: number of daemons that were asked; a daemon that knows no other can't be the only one cut off.
    """
    if any(response.reads_partition for response in responses):
        return LogAccess.CUT_OFF
    if any(response.lacks_partition_only for response in responses):
        return LogAccess.OUTAGE
    if any(response.reads_log for response in responses):
        return LogAccess.CUT_OFF
    lack_the_log = any(response.log_age_s is not None for response in responses)
    return LogAccess.OUTAGE if lack_the_log or not asked else LogAccess.CUT_OFF
