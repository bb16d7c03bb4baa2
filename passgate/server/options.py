"""Options that callers give in headers or fields, checked and typed.

Headers go before fields of the same meaning.
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
KEY_FORM = re.compile(r"^[\x20-\x7e]{1,256}$")
TRUE_WORDS = frozenset(("1", "true", "yes"))
FALSE_WORDS = frozenset(("", "0", "false", "no"))
MS_PER_S = 1000.0
TOKEN_LIMIT = 2**32


class CallOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of one call."""

    deadline_s: float
    """Absolute loop time."""
    priority_class: str
    """Empty when the caller named none."""
    selector: str
    claim_key: str | None
    """Set when the call may run at most once; unique to caller and key."""

    @property
    def repeatable(self) -> bool:
        """Return whether the call may be sent to a back end again after an unknown outcome."""
        return self.claim_key is None


def read_options(
    headers: Mapping[str, str], caller: str, request_id: str, limits: LimitSettings
) -> CallOptions:
    """Return the options of a call; raises InvalidRequest naming the header."""
    return CallOptions(
        deadline_s=clock.monotonic_s() + _deadline(headers, limits),
        priority_class=headers.get(PRIORITY_HEADER, ""),
        selector=headers.get(SELECTOR_HEADER, ""),
        claim_key=_claim_key(headers, caller, request_id),
    )


def _deadline(headers: Mapping[str, str], limits: LimitSettings) -> float:
    text = headers.get(DEADLINE_HEADER, "")
    if not text:
        return limits.default_deadline_s
    try:
        value_s = float(text) / MS_PER_S
    except ValueError:
        value_s = math.nan
    if not 0 < value_s <= limits.max_deadline_s:
        largest_ms = limits.max_deadline_s * MS_PER_S
        raise InvalidRequest(
            f"{DEADLINE_HEADER} must be milliseconds above 0 and at most {largest_ms:g}",
            header=DEADLINE_HEADER,
        )
    return value_s


def _claim_key(headers: Mapping[str, str], caller: str, request_id: str) -> str | None:
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    mark = headers.get(NOT_REPEATABLE_HEADER, "").lower()
    if mark not in TRUE_WORDS | FALSE_WORDS:
        raise InvalidRequest(f"{NOT_REPEATABLE_HEADER} must be true or false", header=NOT_REPEATABLE_HEADER)
    if key and not KEY_FORM.match(key):
        raise InvalidRequest(f"{IDEMPOTENCY_KEY_HEADER} has a wrong form", header=IDEMPOTENCY_KEY_HEADER)
    if key:
        return f"{caller}/key/{key}"
    if mark in TRUE_WORDS:
        return f"{caller}/request/{headers.get('X-Request-Id') or request_id}"
    return None


def request_digest(*parts: bytes) -> str:
    """Return a digest that differs for different requests; parts can not run into each other."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def choose_engine_pool(state: ConfigurationState, selector: str, model: str) -> ConfigObject:
    """Return the engine pool that a selector over pool labels or a model's name chooses.

    Raises:
        NoMatchingPool: none matches; SelectorSyntaxError, InvalidRequest: it can not be understood.
    """
    if not selector and not model:
        raise InvalidRequest("a model or a selector is needed", field="model")
    if not selector:
        return _pool_of_model(state.objects("Pool"), model)
    parsed = Selector.parse(selector)
    if not model:
        return state.select_pool(parsed, MachineRole.ENGINE)
    return _pool_of_model(state.objects("Pool", parsed), model)


def _pool_of_model(pools: list[ConfigObject], model: str) -> ConfigObject:
    matching = [pool for pool in pools if pool.spec.role is MachineRole.ENGINE and pool.spec.model == model]
    if not matching:
        raise NoMatchingPool(f"no pool serves model {model!r}", model=model)
    return min(matching, key=lambda pool: pool.name)


def choose_app_pool(state: ConfigurationState, name: str, selector: str) -> ConfigObject:
    """Return the application pool of that name, or the selected one when the name is ``-``."""
    if name == "-":
        if not selector:
            raise InvalidRequest(f"the pool name - needs {SELECTOR_HEADER}", header=SELECTOR_HEADER)
        return state.select_pool(Selector.parse(selector), MachineRole.APP)
    pool = state.get("Pool", name)
    if pool is None or pool.spec.role is not MachineRole.APP:
        raise NoMatchingPool(f"no application pool is named {name!r}", pool=name)
    return pool


def check_tokens(tokens: Sequence[int], field: str) -> None:
    """Check that all token identifiers fit 32 bits; raises InvalidRequest."""
    if min(tokens) < 0 or max(tokens) >= TOKEN_LIMIT:
        raise InvalidRequest("token identifiers are 0 to 2^32 - 1", field=field)


def check_priority_class(state: ConfigurationState, name: str) -> None:
    """Check that a named priority class exists; raises NotFound."""
    if name in DEFAULT_PRIORITY_CLASSES:
        return
    if name and state.get("PriorityClass", name) is None:
        raise NotFound(f"no priority class is named {name!r}", priority_class=name)


def oldest_allowed_version(
    state: ConfigurationState, model: str, minimum_version: int, version_selector: str
) -> int:
    """Return the oldest weight version that may make any token of an answer.

    A version selector raises it to the newest version, not withdrawn, whose labels match.
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
        raise NotFound("no model version matches", selector=version_selector, model=model)
    return max(minimum_version, *matching)
