"""Order in which queued requests are served: fair over callers, interactive first.

Within a priority class each caller of a pool has its own queue, and the queues
are served by start-time fair queueing on tokens: a caller's virtual time grows
by the tokens it consumes, and the smallest virtual time goes first.  The charge
is an estimate; :meth:`FairQueue.settle` corrects it when the real count is known.
Between classes, interactive ones go first, but batch classes that are waiting
keep a floor share of the tokens, so that nothing starves.

The order is per request and work-conserving; bounds are kept by admission.

>>> queue = FairQueue(batch_floor=0.1)
>>> def item(key, caller, cost):
...     return WorkItem(key=key, caller=caller, pool="p", priority_class="training", interactive=False,
...                     prompt_tokens=0, expected_tokens=1, cost=cost, enqueued_s=0.0)
>>> for key in range(3):
...     queue.push(item(key, "large", 100.0))
>>> queue.push(item(9, "small", 1.0))
>>> [queue.take(next(iter(queue.candidates()))).key for _ in range(4)]
[0, 9, 1, 2]
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from typing import Protocol

from passgate.routing.work import WorkItem

FlowKey = tuple[str, str]
"""Pool and caller."""
MAX_IDLE_FLOWS = 1024
"""Flows without a queued request whose virtual time is remembered, per class and pool."""
MAX_FLOWS_EXAMINED = 64
"""With more callers waiting, the projection counts all queued work instead of each caller's share."""
DEFAULT_WEIGHT = 1.0


class RequestQueue(Protocol):
    """What the pool scheduler needs of a queue."""

    def push(self, item: WorkItem, *, front: bool = False, weight: float = DEFAULT_WEIGHT) -> None:
        """Add a request; ``front`` puts a returned one before the caller's others."""

    def remove(self, item: WorkItem) -> bool:
        """Take a request out without serving it; return False when it is not queued."""

    def candidates(self, blocked: set[tuple[str, bool]] | None = None) -> Iterator[WorkItem]:
        """Yield requests in the order in which they should be served.

        Requests whose ``(pool, interactive)`` is in ``blocked`` are passed over;
        the set may grow while the iterator is used.
        """

    def take(self, item: WorkItem) -> WorkItem:
        """Take out a request that is served now, and charge its caller."""

    def settle(self, item: WorkItem, actual_cost: float) -> None:
        """Correct the charge of a served request."""

    def __len__(self) -> int:
        """Return the number of queued requests."""


class _Flow:
    """Queued requests of one caller for one pool in one class."""

    __slots__ = ("correction", "finish", "items", "key", "queued_cost", "start")

    def __init__(self, key: FlowKey) -> None:
        self.key = key
        self.items: OrderedDict[int, WorkItem] = OrderedDict()
        self.start = 0.0
        self.finish = 0.0
        self.correction = 0.0
        self.queued_cost = 0.0


class _ClassQueue:
    """All flows of one priority class, per pool."""

    def __init__(self, interactive: bool) -> None:
        self.interactive = interactive
        self.weight = DEFAULT_WEIGHT
        self.start = 0.0
        self.finish = 0.0
        self.count = 0
        self._virtual_time: dict[str, float] = {}
        self._heaps: dict[str, list[tuple[float, int, _Flow]]] = {}
        self._flows: dict[FlowKey, _Flow] = {}
        self._active: dict[str, dict[str, _Flow]] = {}
        self._costs: dict[str, float] = {}
        self._pool_counts: dict[str, int] = {}
        self._idle: OrderedDict[FlowKey, None] = OrderedDict()
        self._ticket = 0

    def push(self, item: WorkItem, front: bool) -> None:
        key = (item.pool, item.caller)
        flow = self._flows.get(key)
        if flow is None:
            flow = self._flows[key] = _Flow(key)
        flow.items[item.key] = item
        self._count(flow, item, 1)
        if front:
            flow.items.move_to_end(item.key, last=False)
        if len(flow.items) == 1:
            self._idle.pop(key, None)
            self._active.setdefault(item.pool, {})[item.caller] = flow
            self._schedule(flow)

    def remove(self, item: WorkItem) -> bool:
        flow = self._flows.get((item.pool, item.caller))
        if flow is None or flow.items.pop(item.key, None) is None:
            return False
        self._count(flow, item, -1)
        if not flow.items:
            self._retire(flow)
        return True

    def heads(self) -> list[tuple[float, str]]:
        """Return the start tag of the next request per pool."""
        result = []
        for pool, heap in self._heaps.items():
            while heap and not heap[0][2].items:
                heapq.heappop(heap)
            if heap:
                result.append((heap[0][0], pool))
        result.sort()
        return result

    def head(self, pool: str) -> WorkItem:
        flow = self._heaps[pool][0][2]
        return next(iter(flow.items.values()))

    def next_heads(self, pool: str, count: int) -> list[WorkItem]:
        """Return the first request of each of the first flows of a pool."""
        entries = heapq.nsmallest(count, self._heaps[pool])
        return [next(iter(flow.items.values())) for _, _, flow in entries if flow.items]

    def take(self, item: WorkItem) -> None:
        flow = self._flows[(item.pool, item.caller)]
        self._virtual_time[item.pool] = max(self._virtual_time.get(item.pool, 0.0), flow.start)
        charge = max(0.0, item.cost + flow.correction)
        flow.correction = min(0.0, item.cost + flow.correction)
        flow.finish = flow.start + charge
        self._unschedule(flow)
        self.remove(item)
        if flow.items:
            self._schedule(flow)

    def settle(self, item: WorkItem, difference: float) -> None:
        flow = self._flows.get((item.pool, item.caller))
        if flow is not None:
            flow.correction += difference

    def total_cost(self, pool: str) -> float:
        """Return the tokens queued for a pool."""
        return self._costs.get(pool, 0.0)

    def fair_cost_ahead(self, item: WorkItem) -> float:
        """Return the tokens that fair queueing serves before a new request, about."""
        flows = self._active.get(item.pool, {})
        if len(flows) > MAX_FLOWS_EXAMINED:
            return self.total_cost(item.pool)
        own = flows[item.caller].queued_cost if item.caller in flows else 0.0
        return sum(min(flow.queued_cost, own + item.cost) for flow in flows.values())

    def caller_count(self, pool: str, caller: str) -> int:
        flow = self._flows.get((pool, caller))
        return len(flow.items) if flow else 0

    def _count(self, flow: _Flow, item: WorkItem, change: int) -> None:
        self.count += change
        flow.queued_cost += change * item.cost
        self._costs[item.pool] = self._costs.get(item.pool, 0.0) + change * item.cost
        self._pool_counts[item.pool] = self._pool_counts.get(item.pool, 0) + change

    def pool_count(self, pool: str) -> int:
        return self._pool_counts.get(pool, 0)

    def _schedule(self, flow: _Flow) -> None:
        pool = flow.key[0]
        flow.start = max(self._virtual_time.get(pool, 0.0), flow.finish)
        self._ticket += 1
        heapq.heappush(self._heaps.setdefault(pool, []), (flow.start, self._ticket, flow))

    def _unschedule(self, flow: _Flow) -> None:
        heap = self._heaps[flow.key[0]]
        if heap[0][2] is flow:
            heapq.heappop(heap)
            return
        heap[:] = [entry for entry in heap if entry[2] is not flow]
        heapq.heapify(heap)

    def _retire(self, flow: _Flow) -> None:
        """Keep an empty flow's virtual time for a while; the oldest are forgotten."""
        heap = self._heaps.get(flow.key[0], [])
        if any(entry[2] is flow for entry in heap):
            self._unschedule(flow)
        del self._active[flow.key[0]][flow.key[1]]
        self._idle[flow.key] = None
        if len(self._idle) > MAX_IDLE_FLOWS:
            oldest, _ = self._idle.popitem(last=False)
            del self._flows[oldest]


class FairQueue:
    """Weighted fair queue over classes and callers; see the module's text."""

    HEADS_PER_POOL = 3
    """Flows per class and pool that are tried when the first can not be placed."""

    def __init__(self, batch_floor: float) -> None:
        self._floor_ratio = batch_floor / (1.0 - batch_floor)
        self._classes: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._floor_credit = 0.0

    def __len__(self) -> int:
        return sum(queue.count for queue in self._classes.values())

    def push(self, item: WorkItem, *, front: bool = False, weight: float = DEFAULT_WEIGHT) -> None:
        """Add a request; see :class:`RequestQueue`."""
        queue = self._classes.get(item.priority_class)
        if queue is None:
            queue = self._classes[item.priority_class] = _ClassQueue(item.interactive)
        queue.weight = weight
        queue.interactive = item.interactive
        if queue.count == 0:
            queue.start = max(self._virtual_time, queue.finish)
        queue.push(item, front)

    def remove(self, item: WorkItem) -> bool:
        """Take a request out without serving it."""
        queue = self._classes.get(item.priority_class)
        return queue is not None and queue.remove(item)

    def candidates(self, blocked: set[tuple[str, bool]] | None = None) -> Iterator[WorkItem]:
        """Yield requests in serving order; see :class:`RequestQueue`."""
        blocked = set() if blocked is None else blocked
        for queue in self._class_order():
            for _, pool in queue.heads():
                if (pool, queue.interactive) in blocked:
                    continue
                yield queue.head(pool)
                for item in queue.next_heads(pool, self.HEADS_PER_POOL)[1:]:
                    if (pool, queue.interactive) in blocked:
                        break
                    yield item

    def take(self, item: WorkItem) -> WorkItem:
        """Take out a request that is served now, and charge its caller and class."""
        queue = self._classes[item.priority_class]
        self._charge_floor(queue, item.cost)
        self._virtual_time = max(self._virtual_time, queue.start)
        queue.finish = queue.start + item.cost / queue.weight
        queue.start = queue.finish
        queue.take(item)
        return item

    def settle(self, item: WorkItem, actual_cost: float) -> None:
        """Correct the charge of a served request."""
        queue = self._classes.get(item.priority_class)
        if queue is not None:
            queue.settle(item, actual_cost - item.cost)

    def class_count(self, priority_class: str) -> int:
        """Return the number of queued requests of a class."""
        queue = self._classes.get(priority_class)
        return queue.count if queue else 0

    def pool_count(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""
        return sum(queue.pool_count(pool) for queue in self._classes.values())

    def caller_count(self, priority_class: str, pool: str, caller: str) -> int:
        """Return the number of queued requests of a caller."""
        queue = self._classes.get(priority_class)
        return queue.caller_count(pool, caller) if queue else 0

    def cost_ahead(self, item: WorkItem) -> float:
        """Return the tokens of its pool that are served before a new request, about.

        All interactive work goes before batch work.  Within a class another
        caller's work goes before it only up to the caller's own queued amount.
        """
        ahead = 0.0
        for name, queue in self._classes.items():
            if name == item.priority_class:
                ahead += queue.fair_cost_ahead(item)
            elif queue.interactive >= item.interactive:
                ahead += queue.total_cost(item.pool)
        return ahead

    def _class_order(self) -> list[_ClassQueue]:
        waiting = [queue for queue in self._classes.values() if queue.count]
        floor_due = self._floor_credit > 0.0
        return sorted(waiting, key=lambda queue: (queue.interactive is floor_due, queue.start))

    def _charge_floor(self, queue: _ClassQueue, cost: float) -> None:
        """Interactive work earns batch work its floor share while both are waiting."""
        if not queue.interactive:
            self._floor_credit = max(-cost, self._floor_credit - cost)
            return
        batch_waits = any(other.count for other in self._classes.values() if not other.interactive)
        self._floor_credit = self._floor_credit + cost * self._floor_ratio if batch_waits else 0.0


class FifoQueue:
    """Baseline: strictly in order of arrival over all classes and callers."""

    def __init__(self) -> None:
        self._items: OrderedDict[int, WorkItem] = OrderedDict()
        self._class_counts: dict[str, int] = {}
        self._caller_counts: dict[tuple[str, str, str], int] = {}
        self._costs: dict[str, float] = {}
        self._pool_counts: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: WorkItem, *, front: bool = False, weight: float = DEFAULT_WEIGHT) -> None:
        """Add a request; see :class:`RequestQueue`."""
        self._items[item.key] = item
        if front:
            self._items.move_to_end(item.key, last=False)
        self._count(item, 1)

    def remove(self, item: WorkItem) -> bool:
        """Take a request out without serving it."""
        if self._items.pop(item.key, None) is None:
            return False
        self._count(item, -1)
        return True

    def candidates(self, blocked: set[tuple[str, bool]] | None = None) -> Iterator[WorkItem]:
        """Yield only the oldest request, as a first-in first-out queue does."""
        for item in self._items.values():
            yield item
            return

    def take(self, item: WorkItem) -> WorkItem:
        """Take out a request that is served now."""
        self.remove(item)
        return item

    def settle(self, item: WorkItem, actual_cost: float) -> None:
        """Do nothing: order does not depend on cost."""

    def class_count(self, priority_class: str) -> int:
        """Return the number of queued requests of a class."""
        return self._class_counts.get(priority_class, 0)

    def pool_count(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""
        return self._pool_counts.get(pool, 0)

    def caller_count(self, priority_class: str, pool: str, caller: str) -> int:
        """Return the number of queued requests of a caller."""
        return self._caller_counts.get((priority_class, pool, caller), 0)

    def cost_ahead(self, item: WorkItem) -> float:
        """Return the tokens queued before a new request."""
        return self._costs.get(item.pool, 0.0)

    def _count(self, item: WorkItem, change: int) -> None:
        name = item.priority_class
        self._class_counts[name] = self._class_counts.get(name, 0) + change
        self._costs[item.pool] = self._costs.get(item.pool, 0.0) + change * item.cost
        self._pool_counts[item.pool] = self._pool_counts.get(item.pool, 0) + change
        key = (name, item.pool, item.caller)
        self._caller_counts[key] = self._caller_counts.get(key, 0) + change
        if not self._caller_counts[key]:
            del self._caller_counts[key]
