"""Reading and checking of the options that callers set in headers or body fields.

A header takes precedence over a body field of the same meaning.
"""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Mapping, Sequence

import msgspec

from passgate import clock
from passgate.errors import InvalidRequest, NoMatchingPool, NotFound
from passgate.schema import MachineRole
from passgate.selectors import Selector
from passgate.settings import LimitSettings
from passgate.state.configuration import ConfigObject, ConfigurationState
from passgate.state.specs import DEFAULT_PRIORITY_CLASSES

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
NOT_REPEATABLE_HEADER = "X-Passgate-Not-Repeatable"
DEADLINE_HEADER = "X-Passgate-Deadline-Ms"
PRIORITY_HEADER = "X-Passgate-Priority"
SELECTOR_HEADER = "X-Passgate-Selector"
IDEMPOTENCY_KEY_PATTERN = re.compile(r"^[\x20-\x7e]{1,256}$")
TRUE_WORDS = frozenset(("1", "true", "yes"))
FALSE_WORDS = frozenset(("", "0", "false", "no"))
MS_PER_S = 1000.0
TOKEN_ID_LIMIT = 2**32


class CallOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options from the headers of one call."""

    deadline_s: float
    """Time on the monotonic clock until which the caller waits for the answer."""
    priority_class: str
    """Empty when the caller named none."""
    selector: str
    """Label selector over pools; empty when there is none."""
    claim_key: str | None
    """Caller and key under which the call may run at most once; None when it may be repeated."""

    @property
    def repeatable(self) -> bool:
        """Return whether the call may be sent to a replica again after an unknown outcome."""
        return self.claim_key is None


def read_options(
    headers: Mapping[str, str], caller: str, request_id: str, limits: LimitSettings
) -> CallOptions:
    """Return the options of a call; raises InvalidRequest that names the header.

    ``request_id`` identifies a not-repeatable call that has neither an idempotency key nor an X-Request-Id.
    """
    return CallOptions(
        deadline_s=clock.monotonic_s() + _read_timeout_s(headers, limits),
        priority_class=headers.get(PRIORITY_HEADER, ""),
        selector=headers.get(SELECTOR_HEADER, ""),
        claim_key=_make_claim_key(headers, caller, request_id),
    )


def _read_timeout_s(headers: Mapping[str, str], limits: LimitSettings) -> float:
    text = headers.get(DEADLINE_HEADER, "")
    if not text:
        return limits.default_deadline_s
    try:
        timeout_s = float(text) / MS_PER_S
    except ValueError:
        timeout_s = math.nan
    if not 0 < timeout_s <= limits.max_deadline_s:
        max_ms = limits.max_deadline_s * MS_PER_S
        raise InvalidRequest(
            f"{DEADLINE_HEADER} must be a number of milliseconds above 0 and at most {max_ms:g}",
            header=DEADLINE_HEADER,
        )
    return timeout_s


def _make_claim_key(headers: Mapping[str, str], caller: str, request_id: str) -> str | None:
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    not_repeatable = headers.get(NOT_REPEATABLE_HEADER, "").lower()
    if not_repeatable not in TRUE_WORDS | FALSE_WORDS:
        raise InvalidRequest(f"{NOT_REPEATABLE_HEADER} must be true or false", header=NOT_REPEATABLE_HEADER)
    if key and not IDEMPOTENCY_KEY_PATTERN.match(key):
        raise InvalidRequest(
            f"{IDEMPOTENCY_KEY_HEADER} must be 1 to 256 printable ASCII characters",
            header=IDEMPOTENCY_KEY_HEADER,
        )
    if key:
        return f"{caller}/key/{key}"
    if not_repeatable in TRUE_WORDS:
        return f"{caller}/request/{headers.get('X-Request-Id') or request_id}"
    return None


def request_digest(*parts: bytes) -> str:
    """Return the SHA-256 digest of a request's parts.

    Each part is hashed after its length, so that moving bytes from one part to the next gives another digest.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def choose_engine_pool(state: ConfigurationState, selector: str, model: str) -> ConfigObject:
    """Return the first engine pool by name that matches the label selector and serves the model.

    An empty ``selector`` or ``model`` matches every pool, but one of them is required.

    Raises:
        InvalidRequest: both are empty.
        SelectorSyntaxError: the selector cannot be parsed.
        NoMatchingPool: no engine pool matches.
    """
    if not selector and not model:
        raise InvalidRequest("a model or a selector is required", field="model")
    if not selector:
        return _find_pool_of_model(state.objects("Pool"), model)
    parsed = Selector.parse(selector)
    if not model:
        return state.select_pool(parsed, MachineRole.ENGINE)
    return _find_pool_of_model(state.objects("Pool", parsed), model)


def _find_pool_of_model(pools: list[ConfigObject], model: str) -> ConfigObject:
    matching = [pool for pool in pools if pool.spec.role is MachineRole.ENGINE and pool.spec.model == model]
    if not matching:
        raise NoMatchingPool(f"no matching pool serves model {model!r}", model=model)
    return min(matching, key=lambda pool: pool.name)


def choose_app_pool(state: ConfigurationState, name: str, selector: str) -> ConfigObject:
    """Return the application pool of that name, or the first one that the selector matches if it is ``-``.

    Raises:
        InvalidRequest: the name is ``-`` and the selector is empty.
        SelectorSyntaxError: the selector cannot be parsed.
        NoMatchingPool: there is no such application pool.
    """
    if name == "-":
        if not selector:
            raise InvalidRequest(
                f"the pool name - requires the header {SELECTOR_HEADER}", header=SELECTOR_HEADER
            )
        return state.select_pool(Selector.parse(selector), MachineRole.APP)
    pool = state.get("Pool", name)
    if pool is None or pool.spec.role is not MachineRole.APP:
        raise NoMatchingPool(f"unknown application pool {name!r}", pool=name)
    return pool


def check_token_ids(tokens: Sequence[int], field: str) -> None:
    """Check that all token identifiers are unsigned 32-bit integers; raises InvalidRequest.

    ``tokens`` must not be empty; ``field`` is the name for the error.
    """
    if min(tokens) < 0 or max(tokens) >= TOKEN_ID_LIMIT:
        raise InvalidRequest("token identifiers must be from 0 to 2^32 - 1", field=field)


def check_priority_class(state: ConfigurationState, name: str) -> None:
    """Check that a priority class exists, if one is named; raises NotFound."""
    if name in DEFAULT_PRIORITY_CLASSES:
        return
    if name and state.get("PriorityClass", name) is None:
        raise NotFound(f"unknown priority class {name!r}", priority_class=name)


def resolve_minimum_version(
    state: ConfigurationState, model: str, minimum_version: int, version_selector: str
) -> int:
    """Return the oldest weight version that may produce any token of an answer.

    That is the newer of ``minimum_version`` and, if there is a version selector, the newest version of the
    model that matches it and is not withdrawn.

    Raises:
        InvalidRequest: ``minimum_version`` is negative.
        SelectorSyntaxError: the selector cannot be parsed.
        NotFound: no version matches the selector.
    """
    if minimum_version < 0:
        raise InvalidRequest("minimum_version must not be negative", field="minimum_version")
    if not version_selector:
        return minimum_version
    matching = [
        version.spec.version
        for version in state.objects("ModelVersion", Selector.parse(version_selector))
        if version.spec.model == model and not version.spec.withdrawn
    ]
    if not matching:
        raise NotFound("no model version matches version_selector", selector=version_selector, model=model)
    return max(minimum_version, *matching)
