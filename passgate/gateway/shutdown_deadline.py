"""The time by which all answers of a daemon that shuts down have to end.

>>> deadline = ShutdownDeadline()
>>> deadline.begin(ends_by_s=7.5)
>>> deadline.check(answer_by_s=7.0)
>>> deadline.check(answer_by_s=9.0)
Traceback (most recent call last):
...
passgate.errors.Draining: the daemon shuts down before the request's time limit
"""

from __future__ import annotations

import math

from passgate.errors import Draining, ExecutionStatus

RETRY_ELSEWHERE_AFTER_S = 0.01
"""Value of ``Retry-After`` for a request that another daemon can serve at once."""


class ShutdownDeadline:
    """Rejects requests that may not end before the daemon closes its connections; none until it begins."""

    def __init__(self) -> None:
        self.ends_by_s = math.inf
        """Loop time by which all answers have to end; infinite while the daemon accepts all requests."""

    def begin(self, ends_by_s: float) -> None:
        """Reject, from now on, requests that may last longer than until a loop time."""
        self.ends_by_s = ends_by_s

    def check(self, answer_by_s: float) -> None:
        """Raise Draining if a request that has not run yet may last until after the end.

        The time limit counts, not the usual duration: a run that is cut off is lost, and may not be repeated,
        while a rejected request is served by another daemon at once.

        Args:
            answer_by_s: loop time until which the request may last.
        """
        if answer_by_s > self.ends_by_s:
            raise draining("the daemon shuts down before the request's time limit")


def draining(reason: str) -> Draining:
    """Return the error for a request that was not run, as the daemon shuts down."""
    return Draining(reason, execution=ExecutionStatus.NOT_RUN, retry_after_s=RETRY_ELSEWHERE_AFTER_S)
