"""A small deployment for simulated runs: three zones, four engines, three application replicas."""

from __future__ import annotations

from passgate.check.simulation.schedule import APPS, ENGINES, ZONES
from passgate.emulator.expected_output import LengthDistribution
from passgate.emulator.parameters import (
    AppGroup,
    AppParameters,
    ArrivalParameters,
    DeploymentParameters,
    EngineGroup,
    EngineParameters,
    MachineListParameters,
    ModelParameters,
    NetworkParameters,
    StoreParameters,
    TrainerParameters,
)

MODEL = "notes"


def small_deployment() -> DeploymentParameters:
    """Return the parameters; they are small, as campaigns make many runs."""
    model = ModelParameters(
        name=MODEL,
        weight_bytes=50_000_000,
        lengths=LengthDistribution(median_tokens=20.0, sigma=0.8),
        system_prompt_tokens=8,
        prompt_tokens=8,
    )
    trainer = TrainerParameters(
        name="trainer",
        model=MODEL,
        prompts_per_step=3,
        samples_per_prompt=2,
        max_tokens=64,
        train_s=2.0,
        staleness_bound=1,
        lots_ahead=2,
        read_limit=4,
        read_wait_s=2.0,
    )
    return DeploymentParameters(
        name="small",
        zones=ZONES,
        network=NetworkParameters(between_zones_s=0.0005),
        engines=EngineGroup(
            name="engine",
            replicas=len(ENGINES),
            models=(model,),
            engine=EngineParameters(restart_s=5.0, swap_pause_s=0.3),
        ),
        apps=AppGroup(name="app", replicas=len(APPS), app=AppParameters()),
        store=StoreParameters(bytes_per_s=100_000_000, piece_bytes=10_000_000),
        machine_list=MachineListParameters(lag_s=1.0),
        trainers=(trainer,),
        arrivals=(
            ArrivalParameters(
                name="orders", kind="app", rate_per_s=1.5, deadline_s=3.0, not_repeatable_share=0.6
            ),
            ArrivalParameters(
                name="notes-now",
                kind="generate",
                rate_per_s=0.7,
                model=MODEL,
                max_tokens=48,
                deadline_s=6.0,
                not_repeatable_share=0.5,
            ),
        ),
    )
