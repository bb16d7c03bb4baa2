"""``passgate plan rollout|capacity``: show plans without carrying them out.

::

    passgate plan capacity --requests_per_s 5200 --output_tokens 404
    passgate plan capacity --requests_per_s 20 --deployment olhar --json
"""

from __future__ import annotations

import msgspec

from passgate.capacity.plan import CapacityDemand, plan_capacity
from passgate.emulator.parameters import load_deployment
from passgate.rollout.cli import PlanCommands as RolloutPlanCommands


class PlanCommands(RolloutPlanCommands):
    """Commands that show a plan without carrying it out."""

    def capacity(
        self,
        requests_per_s: float,
        output_tokens: float = 404.0,
        prompt_tokens: float = 448.0,
        cached_share: float = 0.5,
        utilisation: float = 0.8,
        deployment: str = "olhar",
        json: bool = False,
    ) -> None:
        """Show the replicas, KV memory and daemons that a load requires.

        Args:
            requests_per_s: requests for generated tokens at the peak.
            output_tokens: mean length of an output.
            prompt_tokens: mean length of a prompt.
            cached_share: share of prompt tokens found in prefix caches, 0 to 1.
            utilisation: planned share of an engine's rate, 0 to 1.
            deployment: name or file whose engine parameters are used.
            json: print one JSON line.
        """
        demand = CapacityDemand(
            requests_per_s=float(requests_per_s),
            output_tokens=float(output_tokens),
            prompt_tokens=float(prompt_tokens),
            cached_share=float(cached_share),
            utilisation=float(utilisation),
        )
        plan = plan_capacity(load_deployment(deployment).engines.engine, demand)
        if json:
            print(msgspec.json.encode(plan).decode())
            return
        for name in plan.__struct_fields__:
            print(f"{name.replace('_', ' '):24} {getattr(plan, name):>12,}")
