"""Parameters of an emulated deployment, read from its YAML file.

``docs/design/emulator.md`` explains the values.

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

_DEPLOYMENTS_FOLDER = Path(__file__).parent / "deployments"


class _ParametersBase(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base class: immutable and keyword-only; an unknown key in a file is an error."""


class FenceScope(enum.Enum):
    """Which orders an engine compares with the same highest fence."""

    ENGINE = "engine"
    """All orders to the engine."""
    MODEL = "model"
    """All orders for the same model."""


class CallKind(enum.StrEnum):
    """Kind of an interactive call."""

    APP = "app"
    """Call of the application service."""
    GENERATE = "generate"
    """Generation by a model."""


class EngineParameters(_ParametersBase, frozen=True, kw_only=True):
    """One replica of the model service, with continuous batching and a paged KV cache.

    A step takes ``step_base_s`` once for each model in the batch, ``step_per_sequence_s`` for each decoding
    sequence, ``step_per_kv_token_s`` for each token of their context, and ``step_per_prefill_token_s`` for
    each prompt token computed.
    """

    step_base_s: float = 0.018
    step_per_sequence_s: float = 0.00010
    step_per_kv_token_s: float = 2.0e-8
    step_per_prefill_token_s: float = 6.0e-5
    prefill_chunk_tokens: int = 512
    """Maximum number of prompt tokens computed in one step, over all sequences."""
    stream_interval_tokens: int = 8
    """Tokens per streamed chunk after the first one; also the most decode steps simulated at once, unless a
    new request interrupts them."""
    max_running: int = 48
    """Maximum number of sequences in the batch."""
    max_waiting: int = 512
    """Maximum number of queued requests; further ones are refused."""
    block_tokens: int = 16
    """Tokens per block of the KV cache."""
    kv_blocks: int = 6_000
    kv_watermark: float = 0.02
    """Share of blocks that stay free when a sequence is admitted, so that running sequences can grow."""
    expected_output_tokens: int = 256
    """Output length that the load report assumes for requests with a larger ``max_tokens``."""
    report_interval_s: float = 0.25
    report_lag_s: float = 0.25
    """Age of the newest load report that can be read."""
    cache_event_delay_s: float = 0.5
    """Time from a change of the KV cache until its event can be read."""
    cache_event_loss: float = 0.01
    """Probability that a cache event is never published."""
    cache_events_kept: int = 8_192
    swap_pause_s: float = 0.8
    """Time for which all sequences pause while staged weights are activated."""
    recompute_kv_on_swap: bool = False
    """Whether running sequences are prefilled again with the new weights."""
    adapter_load_s: float = 0.3
    restart_s: float = 20.0
    """Time from a crash until the engine accepts requests again, with its boot version."""
    kv_bytes_per_token: int = 65_536
    transfer_bytes_per_s: float = 1.25e9
    """Rate of an engine's weight transfers to other engines, which share it, and of its KV cache exports."""
    fence_scope: FenceScope = FenceScope.ENGINE
    fence_survives_restart: bool = True
    """Whether the engine still refuses orders with older fences after a crash."""
    priorities: dict[str, int] = {}
    """Priority class to engine priority, smaller first; other classes have ``default_priority``."""
    default_priority: int = 10


class ModelParameters(_ParametersBase, frozen=True, kw_only=True):
    """One model that a deployment's engines serve."""

    name: str
    weight_bytes: int = 2_000_000_000
    boot_version: int = 1
    """Weight version with which an engine starts."""
    lengths: LengthDistribution = LengthDistribution()
    """Distribution of output lengths."""
    system_prompt_tokens: int = 256
    """Length of the prefix that all prompts of the model share."""
    prompt_tokens: int = 192
    """Length of a prompt after the shared prefix."""


class EngineGroup(_ParametersBase, frozen=True, kw_only=True):
    """The deployment's model service."""

    name: str
    replicas: int
    models: tuple[ModelParameters, ...]
    engine: EngineParameters = EngineParameters()


class AppParameters(_ParametersBase, frozen=True, kw_only=True):
    """One replica of an application service."""

    service_mean_s: float = 0.08
    service_variation: float = 0.6
    """Coefficient of variation of the log-normal service time; not used with ``exponential``."""
    exponential: bool = False
    """Whether service times are exponential instead of log-normal."""
    concurrency: int = 4
    """Calls that a replica executes at the same time."""
    max_waiting: int = 32
    """Maximum number of queued calls; further ones are refused."""
    restart_s: float = 5.0
    """Time from a crash until the replica accepts calls again."""
    report_interval_s: float = 0.25
    report_lag_s: float = 0.25
    """Age of the newest load report that can be read."""


class AppGroup(_ParametersBase, frozen=True, kw_only=True):
    """The deployment's application service."""

    name: str
    replicas: int
    app: AppParameters = AppParameters()


class NetworkParameters(_ParametersBase, frozen=True, kw_only=True):
    """One-way delays and timeouts of the emulated network."""

    between_zones_s: float
    within_zone_s: float = 0.0001
    to_clients_s: float = 0.003
    """Delay between callers and any zone."""
    connect_timeout_s: float = 1.0
    """Time until a connection attempt across a network partition fails."""
    stall_timeout_s: float = 5.0
    """Time without data after which an open connection across a network partition fails."""


class LogParameters(_ParametersBase, frozen=True, kw_only=True):
    """The platform's append-only log."""

    append_s: float = 0.004
    read_s: float = 0.001
    reader_lag_s: float = 0.0
    """Lag of the replicas that serve reads, when no fault adds to it."""


class StoreParameters(_ParametersBase, frozen=True, kw_only=True):
    """The platform's weight store."""

    bytes_per_s: float = 2.5e9
    """Rate at which the store sends, shared by all transfers."""
    piece_bytes: int = 64_000_000
    """Bytes after which concurrent transfers take turns."""
    first_byte_s: float = 0.05
    """Delay before a transfer begins."""


class MachineListParameters(_ParametersBase, frozen=True, kw_only=True):
    """The platform's list of machines."""

    lag_s: float = 2.0
    """Time until a change can be read."""


class ScoringParameters(_ParametersBase, frozen=True, kw_only=True):
    """The service that scores one trainer's samples."""

    mean_s: float = 0.05
    variation: float = 0.5
    """Coefficient of variation of the log-normal scoring time."""
    workers: int = 16
    """Samples that are scored at the same time."""


class TrainerParameters(_ParametersBase, frozen=True, kw_only=True):
    """One trainer: each step waits for the samples of a lot, trains, and may publish new weights."""

    name: str
    model: str
    prompts_per_step: int
    samples_per_prompt: int
    max_tokens: int = 1_024
    train_s: float = 20.0
    """Duration of a step after all samples are scored."""
    publish_every_steps: int = 1
    staleness_bound: int = 2
    """Maximum number of versions that a sample may be behind the trainer."""
    lots_ahead: int = 0
    """Number of further lots that are open while the trainer waits for one and trains on it."""
    deadline_s: float = 360.0
    """Time from the opening of a lot until its deadline."""
    read_limit: int = 64
    """Maximum number of samples in one page."""
    read_wait_s: float = 5.0
    """Maximum wait of a long poll for samples."""
    scoring: ScoringParameters = ScoringParameters()


class ArrivalParameters(_ParametersBase, frozen=True, kw_only=True):
    """A stream of interactive calls that arrive at random, whether or not earlier ones were answered."""

    name: str
    """Name of the caller, also the prefix of its request identifiers."""
    kind: CallKind
    rate_per_s: float
    """Mean arrival rate outside the surge."""
    model: str = ""
    """Model of ``generate`` calls; empty for ``app``."""
    max_tokens: int = 96
    deadline_s: float = 2.0
    """Time limit of one attempt; an answer that takes longer since the call's arrival counts as late."""
    attempts: int = 3
    """Maximum number of attempts of one call."""
    not_repeatable_share: float = 0.0
    """Share of calls that must be executed at most once."""
    priority_class: str = "interactive"
    daily_amplitude: float = 0.4
    """Amplitude of the daily sine curve, relative to the mean rate, from 0 to 1."""
    day_s: float = 86_400.0
    """Period of the daily sine curve."""
    surge_factor: float = 1.0
    """Factor of the rate from ``surge_start_s`` to ``surge_end_s`` after the start."""
    surge_start_s: float = 0.0
    surge_end_s: float = 0.0


class DeploymentParameters(_ParametersBase, frozen=True, kw_only=True):
    """One deployment: its zones, back ends, platform and callers."""

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
        """Return a copy whose surge of interactive calls is from ``start_s`` to ``end_s`` after the start."""
        arrivals = [
            msgspec.structs.replace(item, surge_start_s=start_s, surge_end_s=end_s) for item in self.arrivals
        ]
        return msgspec.structs.replace(self, arrivals=tuple(arrivals))

    def model(self, name: str) -> ModelParameters:
        """Return the parameters of one model; raises SettingsError if there is none with that name."""
        for model in self.engines.models:
            if model.name == name:
                return model
        raise SettingsError(f"unknown model {name}", key="engines.models", expected="a model's name")


def load_deployment(name_or_path: str) -> DeploymentParameters:
    """Read a deployment from ``deployments/NAME.yaml`` or from the path of a file with a suffix.

    Raises:
        SettingsError: the file can not be read or is invalid.
    """
    path = Path(name_or_path)
    if not path.suffix:
        path = _DEPLOYMENTS_FOLDER / f"{name_or_path}.yaml"
    try:
        return msgspec.convert(yaml.safe_load(path.read_text()), DeploymentParameters)
    except OSError as error:
        raise SettingsError(f"no deployment file {path}", file=path, expected="olhar or huon") from error
    except (msgspec.ValidationError, yaml.YAMLError) as error:
        raise SettingsError(f"invalid deployment file: {error}", file=path) from error
