"""What the lease holder knows about one model on one replica during a rollout.

A tracker follows the state chart ``replica_swap`` and records the versions in the
engine's memory and what the engine has confirmed under the current fence.

>>> tracker = SwapTracker(ReplicaView(replica_id="r1", address="10.0.0.1:80", zone="a"), "grade")
>>> tracker.record_report(3)
>>> tracker.update_chart(RolloutTarget(model="grade", version=4)); tracker.chart.state
'behind'
"""

from __future__ import annotations

from passgate.rollout.sources import SourceTable
from passgate.rollout.types import PlannedOrder, ReplicaView, RolloutTarget
from passgate.schema import OrderKind
from passgate.statecharts import Machine

NEVER_S = float("-inf")


class SwapTracker:
    """Tracks the version, orders and failures of one model on one replica."""

    def __init__(self, view: ReplicaView, model: str) -> None:
        self.view = view
        self.model = model
        self.chart = Machine("replica_swap")
        self.reported = False
        """Whether a report of the replica was read since this tracker was created."""
        self.active_version = 0
        """Version that the engine last confirmed or reported as active; zero when unknown."""
        self.versions_in_memory: set[int] = set()
        """Versions in the engine's memory: the active one and at most one staged or previous one."""
        self.fence_confirmed = False
        """Whether the engine has completed an order under the current fence.

        Until then a late order of an earlier lease holder can still take effect, so a
        report alone is no evidence that the replica is on its target.  An unknown outcome
        and a report of another version reset it.
        """
        self.adapters: set[str] = set()
        self.engine_role = ""
        self.broken = False
        """Whether a swap failed partway, so that the engine may have no usable weights."""
        self.rollback_version = 0
        """Version to activate before the target is attempted again; zero for none."""
        self.previous_version = 0
        """Version that was active before ``active_version``; zero when unknown."""
        self.failed_attempts = 0
        """Failed orders since the last success of an order other than a stage."""
        self.swap_failures = 0
        """Failed activations since the last successful one."""
        self.ended_orders = 0
        """Number of orders with a known outcome, part of the next order's identifier.

        It makes identifiers unique, and gives an order sent again after an unknown outcome the
        same identifier as before.
        """
        self.unknown_outcomes = 0
        """Orders of unknown outcome since the last successful order."""
        self.unconfirmed_swap_since_s: float | None = None
        """When the outcome of an order that may interrupt service became unknown; None when known."""
        self.source_failures = 0
        self.last_confirmed_s = NEVER_S
        """When an activation under the current fence last succeeded; minus infinity before that."""
        self.order_in_flight: PlannedOrder | None = None
        """Order that was sent and has not ended; None when there is none."""
        self.seed_failures = 0
        """Failed fetches from another zone's seed since the target version changed."""
        self.order_from_partial = False
        """Whether the stage in flight fetches from an engine that is still fetching."""
        self.order_source_table: SourceTable | None = None
        """Table that counts the stage in flight; a new target version replaces the model's table."""

    def record_report(self, version: int) -> None:
        """Record the version that the engine reports; zero when it reports none.

        A version other than the last known one invalidates what was confirmed about the engine.
        """
        self.reported = True
        if version != self.active_version:
            self.previous_version = self.active_version or self.previous_version
            self.versions_in_memory = {version} - {0}
            self.adapters.clear()
            self.engine_role = ""
            self.fence_confirmed = False
        self.active_version = version

    def update_chart(self, target: RolloutTarget) -> None:
        """Send the chart the event for being on or off the target, if its state accepts it.

        A staged version that is still the goal keeps the chart in ``staged``.
        """
        event = "on_target" if self.is_on_target(target) else "off_target"
        if (
            event == "off_target"
            and self.chart.state == "staged"
            and self.goal_version(target) in self.versions_in_memory
        ):
            return
        if self.chart.can(event):
            self.chart.send(event)

    @property
    def key(self) -> tuple[str, str]:
        """Identifiers of the replica and the model."""
        return self.view.replica_id, self.model

    @property
    def is_out_of_service(self) -> bool:
        """Whether the replica may not be serving because of a failed or unconfirmed swap."""
        return self.broken or self.unconfirmed_swap_since_s is not None

    def goal_version(self, target: RolloutTarget) -> int:
        """Return the version to activate next: that of a pending roll-back, else the target's."""
        return self.rollback_version or target.version

    def is_on_target(self, target: RolloutTarget) -> bool:
        """Return whether the replica needs no further order; true when no version is published."""
        if target.version == 0:
            return True
        return not self.rollback_version and self.next_order_kind(target) is None

    def next_order_kind(self, target: RolloutTarget) -> OrderKind | None:
        """Return the kind of the next order on the way to the goal, None when nothing is left to do."""
        goal = self.goal_version(target)
        if self.active_version != goal or self.broken or not self.fence_confirmed:
            return OrderKind.ACTIVATE_VERSION if goal in self.versions_in_memory else OrderKind.STAGE_VERSION
        if self.missing_adapter(target):
            return OrderKind.LOAD_ADAPTER
        if target.engine_role and target.engine_role != self.engine_role:
            return OrderKind.SET_ROLE
        return None

    def missing_adapter(self, target: RolloutTarget) -> str:
        """Return the first adapter of the target that is not loaded, an empty string if all are."""
        return next((name for name in target.adapters if name not in self.adapters), "")

    # --- effects of orders ---------------------------------------------------------

    def record_staged(self, version: int) -> None:
        """Record that the engine has fetched ``version`` into its spare memory."""
        self.versions_in_memory = {self.active_version, version} - {0}

    def record_activated(self, version: int, now_s: float, keeps_previous: bool) -> None:
        """Record that the engine has confirmed that ``version`` is active."""
        if version != self.active_version:
            self.versions_in_memory = {self.active_version, version} - {0} if keeps_previous else {version}
            self.previous_version = self.active_version
            self.adapters.clear()
        self.active_version = version
        self.broken = False
        self.rollback_version = 0
        self.swap_failures = 0
        self.last_confirmed_s = now_s

    def record_failed_swap(self, target: RolloutTarget, swap_attempts: int) -> None:
        """Record that an activation failed partway, and decide whether to roll back.

        The previous version is activated again after ``swap_attempts`` failures, unless it is
        unknown, withdrawn or the target itself, or the failed activation was a roll-back; in
        these cases the target is staged and activated again.
        """
        self.broken = True
        self.swap_failures += 1
        previous_version = self.active_version or self.previous_version
        usable = (
            previous_version
            and previous_version not in target.withdrawn
            and previous_version != target.version
        )
        if self.rollback_version or not usable:
            self.rollback_version = 0
            self.versions_in_memory.clear()
        elif self.swap_failures >= swap_attempts:
            self.rollback_version = previous_version
            self.versions_in_memory.clear()
