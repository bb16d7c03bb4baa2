"""Typed parameters of an emulated deployment, read from one YAML file each.

Every figure is justified, or named as an assumption, in ``docs/design/emulator.md``.

>>> load_deployment("olhar").engines.replicas
5
"""

from __future__ import annotations

import enum
from pathlib import Path

import msgspec
import yaml

from passgate.emulator.expected_output import LengthDistribution
from passgate.errors import SettingsError

_DEPLOYMENTS = Path(__file__).parent / "deployments"


class _Parameters(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base: immutable, keyword-only, unknown keys are errors."""


class FenceScope(enum.Enum):
    """What one remembered fence of an engine covers."""

    ENGINE = "engine"
    """All orders to the engine share one fence."""
    MODEL = "model"
    """Orders for different models are fenced apart."""


class CallKind(enum.StrEnum):
    """What an interactive call asks for; equal to its plain name."""

    APP = "app"
    """A call of the application service."""
    GENERATE = "generate"
    """Output of a model."""


class EngineParameters(_Parameters, frozen=True, kw_only=True):
    """One model engine; step times are assumptions until the users confirm them."""

    step_base_s: float = 0.018
    """Fixed time of a step, once per model present in the batch."""
    step_per_sequence_s: float = 0.00010
    step_per_kv_token_s: float = 2.0e-8
    step_per_prefill_token_s: float = 6.0e-5
    prefill_chunk_tokens: int = 512
    """Most prompt tokens computed in one step, over all sequences."""
    stream_interval_tokens: int = 8
    """Tokens per streamed piece after the first one, and most decode steps computed at
    once; arrivals still enter the batch at the next single step."""
    max_running: int = 48
    max_waiting: int = 512
    """Requests beyond it are refused before running."""
    block_tokens: int = 16
    kv_blocks: int = 6_000
    kv_watermark: float = 0.02
    """Share of blocks that admission leaves free, so that running sequences can grow."""
    expected_output_tokens: int = 256
    """The engine's own guess of an output, used in its load report."""
    report_interval_s: float = 0.25
    report_lag_s: float = 0.25
    """Age of the newest report that can be read."""
    cache_event_delay_s: float = 0.5
    cache_event_loss: float = 0.01
    """Probability that one cache event is never published."""
    cache_events_kept: int = 8_192
    swap_pause_s: float = 0.8
    """All sequences stand still while staged weights are activated."""
    recompute_kv_on_swap: bool = False
    """Prefill running sequences again under the new weights."""
    adapter_load_s: float = 0.3
    restart_s: float = 20.0
    """Time from a crash until the engine takes requests again, with its boot version."""
    kv_bytes_per_token: int = 65_536
    transfer_bytes_per_s: float = 1.25e9
    """Rate at which one engine sends weights or KV cache to others, shared by all of them."""
    fence_scope: FenceScope = FenceScope.ENGINE
    fence_survives_restart: bool = True
    priorities: dict[str, int] = {}
    """Priority class to engine priority, smaller first; others have ``default_priority``."""
    default_priority: int = 10


class ModelParameters(_Parameters, frozen=True, kw_only=True):
    """One model that a deployment's engines serve."""

    name: str
    weight_bytes: int = 2_000_000_000
    boot_version: int = 1
    lengths: LengthDistribution = LengthDistribution()
    system_prompt_tokens: int = 256
    """Prefix shared by all prompts of the model."""
    prompt_tokens: int = 192
    """Tokens of one prompt after the shared prefix."""


class EngineGroup(_Parameters, frozen=True, kw_only=True):
    """The deployment's model service."""

    name: str
    replicas: int
    models: tuple[ModelParameters, ...]
    engine: EngineParameters = EngineParameters()


class AppParameters(_Parameters, frozen=True, kw_only=True):
    """One replica of an application service."""

    service_mean_s: float = 0.08
    service_variation: float = 0.6
    """Coefficient of variation of the log-normal service time; 1.0 with ``exponential``."""
    exponential: bool = False
    concurrency: int = 4
    max_waiting: int = 32
    restart_s: float = 5.0
    report_interval_s: float = 0.25
    report_lag_s: float = 0.25
    """Age of the newest load report that can be read."""


class AppGroup(_Parameters, frozen=True, kw_only=True):
    """The deployment's application service."""

    name: str
    replicas: int
    app: AppParameters = AppParameters()


class NetworkParameters(_Parameters, frozen=True, kw_only=True):
    """Delays and time limits of the emulated network."""

    between_zones_s: float
    within_zone_s: float = 0.0001
    to_clients_s: float = 0.003
    connect_timeout_s: float = 1.0
    """Time until a connection attempt into a cut zone fails."""
    stall_timeout_s: float = 5.0
    """Time without a byte after which a client gives a cut connection up."""


class LogParameters(_Parameters, frozen=True, kw_only=True):
    """The platform's append-only log."""

    append_s: float = 0.004
    read_s: float = 0.001
    reader_lag_s: float = 0.0
    """How far the read replica of a zone is behind, without a fault."""


class StoreParameters(_Parameters, frozen=True, kw_only=True):
    """The platform's weight store."""

    bytes_per_s: float = 2.5e9
    piece_bytes: int = 64_000_000
    first_byte_s: float = 0.05


class MachineListParameters(_Parameters, frozen=True, kw_only=True):
    """The platform's list of machines."""

    lag_s: float = 2.0


class ScoringParameters(_Parameters, frozen=True, kw_only=True):
    """The service that scores one trainer's samples."""

    mean_s: float = 0.05
    variation: float = 0.5
    """Coefficient of variation of the log-normal scoring time."""
    workers: int = 16


class TrainerParameters(_Parameters, frozen=True, kw_only=True):
    """A trainer in a closed loop: a step waits for its lot, trains, and publishes weights."""

    name: str
    model: str
    prompts_per_step: int
    samples_per_prompt: int
    max_tokens: int = 1_024
    train_s: float = 20.0
    publish_every_steps: int = 1
    staleness_bound: int = 2
    lots_ahead: int = 0
    """Lots opened before the present one is trained on; 0 waits for each."""
    deadline_s: float = 360.0
    read_limit: int = 64
    read_wait_s: float = 5.0
    scoring: ScoringParameters = ScoringParameters()


class ArrivalParameters(_Parameters, frozen=True, kw_only=True):
    """An open stream of interactive calls."""

    name: str
    """Identity of the callers, also the prefix of their requests."""
    kind: CallKind
    rate_per_s: float
    model: str = ""
    max_tokens: int = 96
    deadline_s: float = 2.0
    """Patience of one attempt; the answer is late after it."""
    attempts: int = 3
    not_repeatable_share: float = 0.0
    priority_class: str = "interactive"
    daily_amplitude: float = 0.4
    """Swing of the daily shape around its mean, 0 to 1."""
    day_s: float = 86_400.0
    surge_factor: float = 1.0
    surge_start_s: float = 0.0
    surge_end_s: float = 0.0


class DeploymentParameters(_Parameters, frozen=True, kw_only=True):
    """Everything the emulator needs of one user's deployment."""

    name: str
    zones: tuple[str, ...]
    daemons_per_zone: int = 1
    network: NetworkParameters
    engines: EngineGroup
    apps: AppGroup
    log: LogParameters = LogParameters()
    store: StoreParameters = StoreParameters()
    machine_list: MachineListParameters = MachineListParameters()
    trainers: tuple[TrainerParameters, ...] = ()
    arrivals: tuple[ArrivalParameters, ...] = ()

    def with_surge(self, start_s: float, end_s: float) -> DeploymentParameters:
        """Return the same deployment with the season's surge of interactive calls in a time span."""
        arrivals = [
            msgspec.structs.replace(item, surge_start_s=start_s, surge_end_s=end_s) for item in self.arrivals
        ]
        return msgspec.structs.replace(self, arrivals=tuple(arrivals))

    def model(self, name: str) -> ModelParameters:
        """Return the parameters of one model; raises SettingsError when absent."""
        for model in self.engines.models:
            if model.name == name:
                return model
        raise SettingsError(f"unknown model {name}", key="engines.models", expected="a model's name")


def load_deployment(name_or_path: str) -> DeploymentParameters:
    """Read a deployment by its short name or file path; raises SettingsError."""
    path = Path(name_or_path)
    if not path.suffix:
        path = _DEPLOYMENTS / f"{name_or_path}.yaml"
    try:
        return msgspec.convert(yaml.safe_load(path.read_text()), DeploymentParameters)
    except OSError as error:
        raise SettingsError(f"no deployment file {path}", file=path, expected="olhar or huon") from error
    except (msgspec.ValidationError, yaml.YAMLError) as error:
        raise SettingsError(f"bad deployment file: {error}", file=path) from error
