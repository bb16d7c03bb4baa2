"""One model on one replica within a rollout, as the lease holder knows it.

The track follows the chart ``replica_swap``.  It remembers what the engine holds
in memory and what was confirmed under the present fence.

>>> track = SwapTrack(ReplicaView(replica_id="r1", address="10.0.0.1:80", zone="a"), "grade")
>>> track.observe(3)
>>> track.settle(RolloutTarget(model="grade", version=4)); track.machine.state
'behind'
"""

from __future__ import annotations

from passgate.rollout.sources import SourceTable
from passgate.rollout.types import PlannedOrder, ReplicaView, RolloutTarget
from passgate.schema import OrderKind
from passgate.statecharts import Machine

NEVER_S = float("-inf")


class SwapTrack:
    """Knowledge about one model on one replica, and its chart."""

    def __init__(self, view: ReplicaView, model: str) -> None:
        self.view = view
        self.model = model
        self.machine = Machine("replica_swap")
        self.reported = False
        """Whether a report was read since the lease was taken."""
        self.active = 0
        """Version that the engine last proved or reported to use; zero when unknown."""
        self.held: set[int] = set()
        """Versions in the engine's memory: the active one and one spare."""
        self.fenced = False
        """Whether the engine accepted an order under the present fence.

        Before that, an earlier holder's late order could still take effect, so a
        report alone never counts as being on the target.
        """
        self.adapters: set[str] = set()
        self.engine_role = ""
        self.broken = False
        """A swap failed partway; the engine may serve nothing until a whole version is active."""
        self.fallback = 0
        """Version to put back before the target is tried again; zero for none."""
        self.previous = 0
        """Version that was active before the last one."""
        self.attempts = 0
        """Failed attempts since the last success."""
        self.swap_failures = 0
        """Failed activations of the target since the last roll-back or success."""
        self.order_count = 0
        """Orders that ended, so that a new order never has the identifier of an old one."""
        self.doubts = 0
        """Lost answers in a row."""
        self.swap_doubt_s: float | None = None
        """When the answer to an order that may interrupt service was lost; none when all are known."""
        self.source_failures = 0
        self.confirmed_s = NEVER_S
        """When an order under the present fence last proved ``active``."""
        self.order: PlannedOrder | None = None
        """The order in flight."""
        self.seed_failures = 0
        """Failed fetches from another zone's seed."""
        self.order_from_partial = False
        """The stage in flight fetches from an engine that still fetches itself."""
        self.order_sources: SourceTable | None = None
        """Where the stage in flight is counted; the target may change meanwhile."""

    def observe(self, version: int) -> None:
        """Take the version that the engine reports; zero when it reports none."""
        self.reported = True
        if version != self.active:
            self.previous = self.active or self.previous
            self.held = {version} - {0}
            self.adapters.clear()
            self.engine_role = ""
            self.fenced = False
        self.active = version

    def settle(self, target: RolloutTarget) -> None:
        """Tell the chart whether the replica is on its target; in-flight states stay."""
        event = "on_target" if self.on_target(target) else "off_target"
        if event == "off_target" and self.machine.state == "staged" and self.goal(target) in self.held:
            return
        if self.machine.can(event):
            self.machine.send(event)

    @property
    def key(self) -> tuple[str, str]:
        """Replica and model."""
        return self.view.replica_id, self.model

    @property
    def out_of_service(self) -> bool:
        """Whether the replica may be serving nothing because of its swap."""
        return self.broken or self.swap_doubt_s is not None

    def goal(self, target: RolloutTarget) -> int:
        """Return the version to bring the replica to now."""
        return self.fallback or target.version

    def on_target(self, target: RolloutTarget) -> bool:
        """Return whether nothing is left to do here."""
        if target.version == 0:
            return True
        return not self.fallback and self.next_kind(target) is None

    def next_kind(self, target: RolloutTarget) -> OrderKind | None:
        """Return the order that would bring the replica one step nearer to its goal."""
        goal = self.goal(target)
        if self.active != goal or self.broken or not self.fenced:
            return OrderKind.ACTIVATE_VERSION if goal in self.held else OrderKind.STAGE_VERSION
        if self.missing_adapter(target):
            return OrderKind.LOAD_ADAPTER
        if target.engine_role and target.engine_role != self.engine_role:
            return OrderKind.SET_ROLE
        return None

    def missing_adapter(self, target: RolloutTarget) -> str:
        """Return the first adapter of the target that is not loaded, or an empty text."""
        return next((name for name in target.adapters if name not in self.adapters), "")

    # --- effects of orders ---------------------------------------------------------

    def staged(self, version: int) -> None:
        """Note that the engine fetched ``version`` into its spare memory."""
        self.held = {self.active, version} - {0}

    def activated(self, version: int, now_s: float, keeps_previous: bool) -> None:
        """Note that the engine proved to run ``version``."""
        if version != self.active:
            self.held = {self.active, version} - {0} if keeps_previous else {version}
            self.previous = self.active
            self.adapters.clear()
        self.active = version
        self.broken = False
        self.fallback = 0
        self.swap_failures = 0
        self.confirmed_s = now_s

    def swap_failed(self, target: RolloutTarget, swap_attempts: int) -> None:
        """Note that an activation failed partway, and choose the way back.

        A failed roll-back or a withdrawn former version leaves only the target.
        """
        self.broken = True
        self.swap_failures += 1
        former = self.active or self.previous
        usable = former and former not in target.withdrawn and former != target.version
        if self.fallback or not usable:
            self.fallback = 0
            self.held.clear()
        elif self.swap_failures >= swap_attempts:
            self.fallback = former
            self.held.clear()
