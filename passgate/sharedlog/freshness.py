"""Age of a reader's view of a partition of the log.

>>> freshness = Freshness()
>>> freshness.confirm_current(10.0)
>>> freshness.age_s(12.5)
2.5
"""

from __future__ import annotations

NEVER_S = float("-inf")
"""Loop time before any other."""
MAX_CURRENT_AGE_S = 1.6
"""Age below which a view of the log counts as current; longer than a long poll of POLL_WAIT_S."""
BEHIND_AFTER_S = 2.5
"""Time without a read to the end of the partition after which a reader counts as behind."""


class Freshness:
    """Records up to which time a reader has read all records of its partition, as far as its reads show."""

    def __init__(self) -> None:
        self._confirmed_at_s = NEVER_S
        self._proven_at_s = NEVER_S
        self.recovered_at_s = NEVER_S
        """Loop time at which the reader first reached the end, or last did so after it was behind."""

    def confirm_current(
        self, as_of_s: float, applied_at_s: float | None = None, proven_as_of_s: float | None = None
    ) -> None:
        """Record that everything appended before ``as_of_s`` was read and applied.

        Args:
            as_of_s: loop time, estimated if the response may have been late.
            applied_at_s: loop time of the application; defaults to ``as_of_s``.
            proven_as_of_s: loop time up to which this holds however late the response was; defaults to
                ``as_of_s``.
        """
        proven_as_of_s = as_of_s if proven_as_of_s is None else proven_as_of_s
        self._proven_at_s = max(self._proven_at_s, proven_as_of_s)
        if as_of_s - self._confirmed_at_s > BEHIND_AFTER_S:
            self.recovered_at_s = as_of_s if applied_at_s is None else applied_at_s
        self._confirmed_at_s = max(self._confirmed_at_s, as_of_s)

    def age_s(self, now_s: float) -> float:
        """Return for how long records may have been appended without having been read; infinite at first."""
        return now_s - self._confirmed_at_s

    def proven_age_s(self, now_s: float) -> float:
        """Return the age as :meth:`age_s`, without the estimate that a response was not late."""
        return now_s - self._proven_at_s

    def silence_s(self, last_contact_s: float | None, now_s: float) -> float:
        """Return for how long no record of a writer was read; time before ``recovered_at_s`` does not count.

        ``last_contact_s`` is the loop time at which the writer's last record was read, None without one.
        Callers have to check :meth:`age_s`, as the writer may have appended records that are not read yet.
        """
        return now_s - max(self.recovered_at_s, last_contact_s if last_contact_s is not None else NEVER_S)
