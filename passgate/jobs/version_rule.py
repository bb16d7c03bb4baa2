"""Which weight versions the text of one result may have.

>>> rule = VersionRule(min_version=3, single=True)
>>> rule.allows((4, 4)), rule.allows((4, 5)), rule.allows((2,)), rule.allows(())
(True, False, False, True)
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from passgate.errors import ExecutionStatus, PassgateError, VersionChanged, VersionTooOld


class VersionRule(msgspec.Struct, frozen=True, kw_only=True):
    """What a job and its route require of the versions that make one text."""

    min_version: int
    """Oldest version that may make any event."""
    single: bool
    """Whether one version must make all events."""

    def allows(self, versions: Iterable[int]) -> bool:
        """Whether these versions may together make one text, or a part of it."""
        return self.violation(versions) is None

    def violation(self, versions: Iterable[int]) -> PassgateError | None:
        """Return the error for versions that may not together make one text; None if they may."""
        distinct = set(versions)
        oldest = min(distinct, default=self.min_version)
        if oldest < self.min_version:
            return VersionTooOld(
                "an event was made by an older version", execution=ExecutionStatus.RAN, version=oldest
            )
        if self.single and len(distinct) > 1:
            return VersionChanged("events were made by several versions", execution=ExecutionStatus.RAN)
        return None
