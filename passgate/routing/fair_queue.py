"""Queues of requests: start-time fair queueing over callers, and a first-in first-out baseline.

Within a priority class, the requests of one caller for one pool form a flow, and flows are
served by start-time fair queueing on tokens: the flow with the smallest start tag goes
first.  The charge is an estimate until :meth:`FairQueue.correct_charge` corrects it.
Interactive classes go before batch classes, which keep a minimum share of the tokens
while they wait.  Queue lengths are limited by admission, not here.

>>> queue = FairQueue(batch_min_share=0.1)
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
"""Flows without queued requests whose tags are kept, per priority class."""
MAX_FLOWS_PROJECTED = 64
"""With more flows waiting, the projected cost ahead is that of all queued requests."""
DEFAULT_WEIGHT = 1.0


class RequestQueue(Protocol):
    """What :class:`~passgate.routing.work_scheduler.WorkScheduler` needs of a queue."""

    def push(self, item: WorkItem, *, front: bool = False, weight: float = DEFAULT_WEIGHT) -> None:
        """Add a request; ``front`` puts it before the caller's others, for a retry."""

    def remove(self, item: WorkItem) -> bool:
        """Remove a request without charging for it; return False when it is not queued."""

    def candidates(self, blocked: set[tuple[str, bool]] | None = None) -> Iterator[WorkItem]:
        """Yield requests in the order in which they should be served.

        Requests whose ``(pool, interactive)`` is in ``blocked`` are skipped; the caller
        may add to the set while it iterates.
        """

    def take(self, item: WorkItem) -> WorkItem:
        """Remove a request that is served now, charge its caller, and return the request."""

    def correct_charge(self, item: WorkItem, actual_cost: float) -> None:
        """Replace the estimated charge of a served request by ``actual_cost``."""

    def __len__(self) -> int:
        """Return the number of queued requests."""


class _Flow:
    """Queued requests of one caller for one pool in one priority class."""

    __slots__ = ("charge_correction", "finish_tag", "item_by_key", "key", "queued_cost", "start_tag")

    def __init__(self, key: FlowKey) -> None:
        self.key = key
        self.item_by_key: OrderedDict[int, WorkItem] = OrderedDict()
        self.start_tag = 0.0
        """Virtual time at which the first queued request starts."""
        self.finish_tag = 0.0
        """Virtual time at which the last served request ends."""
        self.charge_correction = 0.0
        """Cost to be added to the next charge, or refunded if negative."""
        self.queued_cost = 0.0


class _ClassQueue:
    """All flows of one priority class.

    ``start_tag`` and ``finish_tag`` are those of the class among the other classes.
    """

    def __init__(self, interactive: bool) -> None:
        self.interactive = interactive
        self.weight = DEFAULT_WEIGHT
        self.start_tag = 0.0
        self.finish_tag = 0.0
        self.count = 0
        self._virtual_time_by_pool: dict[str, float] = {}
        self._flow_heap_by_pool: dict[str, list[tuple[float, int, _Flow]]] = {}
        self._flow_by_key: dict[FlowKey, _Flow] = {}
        self._waiting_flows_by_pool: dict[str, dict[str, _Flow]] = {}
        self._queued_cost_by_pool: dict[str, float] = {}
        self._count_by_pool: dict[str, int] = {}
        self._idle_flow_keys: OrderedDict[FlowKey, None] = OrderedDict()
        self._heap_entry_count = 0
        """Makes the order of flows with equal start tags that of their entry."""

    def push(self, item: WorkItem, front: bool) -> None:
        key = (item.pool, item.caller)
        flow = self._flow_by_key.get(key)
        if flow is None:
            flow = self._flow_by_key[key] = _Flow(key)
        flow.item_by_key[item.key] = item
        self._update_totals(flow, item, 1)
        if front:
            flow.item_by_key.move_to_end(item.key, last=False)
        if len(flow.item_by_key) == 1:
            self._idle_flow_keys.pop(key, None)
            self._waiting_flows_by_pool.setdefault(item.pool, {})[item.caller] = flow
            self._add_to_heap(flow)

    def remove(self, item: WorkItem) -> bool:
        flow = self._flow_by_key.get((item.pool, item.caller))
        if flow is None or flow.item_by_key.pop(item.key, None) is None:
            return False
        self._update_totals(flow, item, -1)
        if not flow.item_by_key:
            self._mark_idle(flow)
        return True

    def pools_in_serving_order(self) -> list[tuple[float, str]]:
        """Return the smallest start tag and the name of each pool with queued requests, sorted."""
        pools = []
        for pool, heap in self._flow_heap_by_pool.items():
            while heap and not heap[0][2].item_by_key:
                heapq.heappop(heap)
            if heap:
                pools.append((heap[0][0], pool))
        pools.sort()
        return pools

    def first_item(self, pool: str) -> WorkItem:
        flow = self._flow_heap_by_pool[pool][0][2]
        return next(iter(flow.item_by_key.values()))

    def first_items(self, pool: str, count: int) -> list[WorkItem]:
        """Return the first request of each of the ``count`` flows of a pool with the smallest start tags."""
        entries = heapq.nsmallest(count, self._flow_heap_by_pool[pool])
        return [next(iter(flow.item_by_key.values())) for _, _, flow in entries if flow.item_by_key]

    def take(self, item: WorkItem) -> None:
        flow = self._flow_by_key[(item.pool, item.caller)]
        self._virtual_time_by_pool[item.pool] = max(
            self._virtual_time_by_pool.get(item.pool, 0.0), flow.start_tag
        )
        charge = max(0.0, item.cost + flow.charge_correction)
        flow.charge_correction = min(0.0, item.cost + flow.charge_correction)
        flow.finish_tag = flow.start_tag + charge
        self._remove_from_heap(flow)
        self.remove(item)
        if flow.item_by_key:
            self._add_to_heap(flow)

    def correct_charge(self, item: WorkItem, difference: float) -> None:
        flow = self._flow_by_key.get((item.pool, item.caller))
        if flow is not None:
            flow.charge_correction += difference

    def queued_cost(self, pool: str) -> float:
        """Return the cost, in tokens, of a pool's queued requests."""
        return self._queued_cost_by_pool.get(pool, 0.0)

    def fair_cost_ahead(self, item: WorkItem) -> float:
        """Return approximately the cost, in tokens, that fair queueing serves before a new request."""
        flows = self._waiting_flows_by_pool.get(item.pool, {})
        if len(flows) > MAX_FLOWS_PROJECTED:
            return self.queued_cost(item.pool)
        own_cost = flows[item.caller].queued_cost if item.caller in flows else 0.0
        return sum(min(flow.queued_cost, own_cost + item.cost) for flow in flows.values())

    def caller_count(self, pool: str, caller: str) -> int:
        flow = self._flow_by_key.get((pool, caller))
        return len(flow.item_by_key) if flow else 0

    def _update_totals(self, flow: _Flow, item: WorkItem, change: int) -> None:
        self.count += change
        flow.queued_cost += change * item.cost
        self._queued_cost_by_pool[item.pool] = (
            self._queued_cost_by_pool.get(item.pool, 0.0) + change * item.cost
        )
        self._count_by_pool[item.pool] = self._count_by_pool.get(item.pool, 0) + change

    def pool_count(self, pool: str) -> int:
        return self._count_by_pool.get(pool, 0)

    def _add_to_heap(self, flow: _Flow) -> None:
        pool = flow.key[0]
        flow.start_tag = max(self._virtual_time_by_pool.get(pool, 0.0), flow.finish_tag)
        self._heap_entry_count += 1
        heapq.heappush(
            self._flow_heap_by_pool.setdefault(pool, []), (flow.start_tag, self._heap_entry_count, flow)
        )

    def _remove_from_heap(self, flow: _Flow) -> None:
        heap = self._flow_heap_by_pool[flow.key[0]]
        if heap[0][2] is flow:
            heapq.heappop(heap)
            return
        heap[:] = [entry for entry in heap if entry[2] is not flow]
        heapq.heapify(heap)

    def _mark_idle(self, flow: _Flow) -> None:
        """Keep an empty flow, so that its tags last; discard the one that has been idle longest."""
        heap = self._flow_heap_by_pool.get(flow.key[0], [])
        if any(entry[2] is flow for entry in heap):
            self._remove_from_heap(flow)
        del self._waiting_flows_by_pool[flow.key[0]][flow.key[1]]
        self._idle_flow_keys[flow.key] = None
        if len(self._idle_flow_keys) > MAX_IDLE_FLOWS:
            oldest, _ = self._idle_flow_keys.popitem(last=False)
            del self._flow_by_key[oldest]


class FairQueue:
    """Weighted fair queue over priority classes and callers; see the module's description."""

    FLOWS_TRIED_PER_POOL = 3
    """Flows per priority class and pool whose first request is a candidate."""

    def __init__(self, batch_min_share: float) -> None:
        self._batch_to_interactive_ratio = batch_min_share / (1.0 - batch_min_share)
        self._queue_by_class: dict[str, _ClassQueue] = {}
        self._virtual_time = 0.0
        self._batch_credit = 0.0

    def __len__(self) -> int:
        return sum(queue.count for queue in self._queue_by_class.values())

    def push(self, item: WorkItem, *, front: bool = False, weight: float = DEFAULT_WEIGHT) -> None:
        """Add a request; see :class:`RequestQueue`."""
        queue = self._queue_by_class.get(item.priority_class)
        if queue is None:
            queue = self._queue_by_class[item.priority_class] = _ClassQueue(item.interactive)
        queue.weight = weight
        queue.interactive = item.interactive
        if queue.count == 0:
            queue.start_tag = max(self._virtual_time, queue.finish_tag)
        queue.push(item, front)

    def remove(self, item: WorkItem) -> bool:
        """Remove a request without charging for it; return False when it is not queued."""
        queue = self._queue_by_class.get(item.priority_class)
        return queue is not None and queue.remove(item)

    def candidates(self, blocked: set[tuple[str, bool]] | None = None) -> Iterator[WorkItem]:
        """Yield the first requests of the first flows in serving order; see :class:`RequestQueue`."""
        blocked = set() if blocked is None else blocked
        for queue in self._classes_in_serving_order():
            for _, pool in queue.pools_in_serving_order():
                if (pool, queue.interactive) in blocked:
                    continue
                yield queue.first_item(pool)
                for item in queue.first_items(pool, self.FLOWS_TRIED_PER_POOL)[1:]:
                    if (pool, queue.interactive) in blocked:
                        break
                    yield item

    def take(self, item: WorkItem) -> WorkItem:
        """Remove a request that is served now, charge its caller and class, and return the request."""
        queue = self._queue_by_class[item.priority_class]
        self._update_batch_credit(queue, item.cost)
        self._virtual_time = max(self._virtual_time, queue.start_tag)
        queue.finish_tag = queue.start_tag + item.cost / queue.weight
        queue.start_tag = queue.finish_tag
        queue.take(item)
        return item

    def correct_charge(self, item: WorkItem, actual_cost: float) -> None:
        """Replace the estimated charge of a served request by ``actual_cost``."""
        queue = self._queue_by_class.get(item.priority_class)
        if queue is not None:
            queue.correct_charge(item, actual_cost - item.cost)

    def class_count(self, priority_class: str) -> int:
        """Return the number of queued requests of a priority class."""
        queue = self._queue_by_class.get(priority_class)
        return queue.count if queue else 0

    def pool_count(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""
        return sum(queue.pool_count(pool) for queue in self._queue_by_class.values())

    def caller_count(self, priority_class: str, pool: str, caller: str) -> int:
        """Return the number of queued requests of a caller in a pool and priority class."""
        queue = self._queue_by_class.get(priority_class)
        return queue.caller_count(pool, caller) if queue else 0

    def cost_ahead(self, item: WorkItem) -> float:
        """Return approximately the cost, in tokens, that its pool serves before a new request.

        Interactive classes count in full, and batch classes only for a batch request.  In
        the request's own class, each flow counts at most as much as the caller's own flow
        with the new request.
        """
        cost_ahead = 0.0
        for name, queue in self._queue_by_class.items():
            if name == item.priority_class:
                cost_ahead += queue.fair_cost_ahead(item)
            elif queue.interactive >= item.interactive:
                cost_ahead += queue.queued_cost(item.pool)
        return cost_ahead

    def _classes_in_serving_order(self) -> list[_ClassQueue]:
        waiting = [queue for queue in self._queue_by_class.values() if queue.count]
        batch_first = self._batch_credit > 0.0
        return sorted(waiting, key=lambda queue: (queue.interactive is batch_first, queue.start_tag))

    def _update_batch_credit(self, queue: _ClassQueue, cost: float) -> None:
        """Credit batch classes with their minimum share of an interactive charge; debit batch charges.

        Batch classes go first while the credit is positive.  Without waiting batch requests,
        an interactive charge resets the credit.
        """
        if not queue.interactive:
            self._batch_credit = max(-cost, self._batch_credit - cost)
            return
        has_waiting_batch = any(
            other.count for other in self._queue_by_class.values() if not other.interactive
        )
        self._batch_credit = (
            self._batch_credit + cost * self._batch_to_interactive_ratio if has_waiting_batch else 0.0
        )


class FifoQueue:
    """Baseline queue: serves requests in order of arrival over all priority classes and callers."""

    def __init__(self) -> None:
        self._item_by_key: OrderedDict[int, WorkItem] = OrderedDict()
        self._count_by_class: dict[str, int] = {}
        self._count_by_caller: dict[tuple[str, str, str], int] = {}
        self._queued_cost_by_pool: dict[str, float] = {}
        self._count_by_pool: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._item_by_key)

    def push(self, item: WorkItem, *, front: bool = False, weight: float = DEFAULT_WEIGHT) -> None:
        """Add a request; see :class:`RequestQueue`."""
        self._item_by_key[item.key] = item
        if front:
            self._item_by_key.move_to_end(item.key, last=False)
        self._update_totals(item, 1)

    def remove(self, item: WorkItem) -> bool:
        """Remove a request; return False when it is not queued."""
        if self._item_by_key.pop(item.key, None) is None:
            return False
        self._update_totals(item, -1)
        return True

    def candidates(self, blocked: set[tuple[str, bool]] | None = None) -> Iterator[WorkItem]:
        """Yield only the oldest request, whether or not its pool is blocked."""
        for item in self._item_by_key.values():
            yield item
            return

    def take(self, item: WorkItem) -> WorkItem:
        """Remove a request that is served now, and return it."""
        self.remove(item)
        return item

    def correct_charge(self, item: WorkItem, actual_cost: float) -> None:
        """Do nothing: the order does not depend on costs."""

    def class_count(self, priority_class: str) -> int:
        """Return the number of queued requests of a priority class."""
        return self._count_by_class.get(priority_class, 0)

    def pool_count(self, pool: str) -> int:
        """Return the number of queued requests of a pool."""
        return self._count_by_pool.get(pool, 0)

    def caller_count(self, priority_class: str, pool: str, caller: str) -> int:
        """Return the number of queued requests of a caller in a pool and priority class."""
        return self._count_by_caller.get((priority_class, pool, caller), 0)

    def cost_ahead(self, item: WorkItem) -> float:
        """Return the cost, in tokens, of its pool's queued requests."""
        return self._queued_cost_by_pool.get(item.pool, 0.0)

    def _update_totals(self, item: WorkItem, change: int) -> None:
        name = item.priority_class
        self._count_by_class[name] = self._count_by_class.get(name, 0) + change
        self._queued_cost_by_pool[item.pool] = (
            self._queued_cost_by_pool.get(item.pool, 0.0) + change * item.cost
        )
        self._count_by_pool[item.pool] = self._count_by_pool.get(item.pool, 0) + change
        key = (name, item.pool, item.caller)
        self._count_by_caller[key] = self._count_by_caller.get(key, 0) + change
        if not self._count_by_caller[key]:
            del self._count_by_caller[key]
