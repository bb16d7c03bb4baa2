"""Tenants, their API keys, and who the caller of a request is.

The tenants of one configuration compile into one index by key, so a request costs one
look-up whatever the number of keys.  Keys appear in no log line, error or metric.

>>> index = KeyIndex((Tenant(name="orchard", api_keys=("k1", "k2")),))
>>> index.caller_of((("authorization", "Bearer k2"),), public=False)
Caller(tenant='orchard', priority=None)
>>> index.caller_of((), public=True).tenant
''
>>> KeyIndex(()).caller_of((), public=False).tenant is None
True
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from passgate.errors import (
    ExecutionStatus,
    InvalidConfiguration,
    MalformedCredential,
    MissingCredential,
    Unauthorized,
    UnknownKey,
)

AUTHORIZATION = "authorization"
SCHEME = "bearer"
NO_TENANT = ""
"""Tenant of a caller that a public route lets in without a key."""
SCOPE_MARK = "/"
"""Separates a tenant's name from an identifier that its callers chose."""

Headers = Sequence[tuple[str, str]]


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """One tenant of the configuration."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    """Rank of its requests, 0 first; replaces the rank of the route."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions that may serve its requests and hold their bodies; empty where any may."""


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """Who sent a request."""

    tenant: str | None = None
    """Name of the tenant; NO_TENANT on a public route; None where there are no tenants."""
    priority: int | None = None
    """Rank of the tenant's requests, if it has one of its own."""


class KeyIndex:
    """The keys of all tenants of one configuration."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        """Compile the tenants; raises InvalidConfiguration."""
        self._required = bool(tenants)
        self._callers: dict[str, Caller] = {}
        names: set[str] = set()
        for tenant in tenants:
            _check_name(tenant.name, names)
            names.add(tenant.name)
            caller = Caller(tenant=tenant.name, priority=tenant.priority)
            for key in tenant.api_keys:
                self._add(key, caller)

    def _add(self, key: str, caller: Caller) -> None:
        if not key:
            raise InvalidConfiguration("a key is empty", tenant=caller.tenant)
        holder = self._callers.setdefault(key, caller)
        if holder is not caller:
            raise InvalidConfiguration(
                "two tenants hold one key", tenant=caller.tenant, other_tenant=holder.tenant
            )

    def caller_of(self, headers: Headers, *, public: bool) -> Caller:
        """Return who sent a request with these headers.

        Raises MissingCredential, MalformedCredential or UnknownKey unless ``public``.
        """
        if not self._required:
            return Caller()
        try:
            return self._identify(headers)
        except Unauthorized:
            if public:
                return Caller(tenant=NO_TENANT)
            raise

    def _identify(self, headers: Headers) -> Caller:
        credentials = [value for name, value in headers if name.lower() == AUTHORIZATION]
        if not credentials:
            raise MissingCredential("a key is needed", execution=ExecutionStatus.NOT_RUN)
        if len(credentials) > 1:
            raise MalformedCredential("more than one key", execution=ExecutionStatus.NOT_RUN)
        scheme, _, key = credentials[0].strip().partition(" ")
        key = key.strip()
        if scheme.lower() != SCHEME or not key:
            raise MalformedCredential("the key is not in the bearer form", execution=ExecutionStatus.NOT_RUN)
        caller = self._callers.get(key)
        if caller is None:
            raise UnknownKey("the key is not known", execution=ExecutionStatus.NOT_RUN)
        return caller


def _check_name(name: str, names: set[str]) -> None:
    """Check a tenant's name, which also stands in identifiers, headers and log lines."""
    if not name or not name.isascii() or not name.isprintable() or SCOPE_MARK in name or " " in name:
        raise InvalidConfiguration("a tenant's name is empty or holds signs that it may not", tenant=name)
    if name in names:
        raise InvalidConfiguration("two tenants have one name", tenant=name)


def scoped_id(tenant: str | None, identifier: str) -> str:
    """Return an identifier that no other tenant can name.

    Callers choose the identifiers of their jobs and items, so two tenants may choose the same.

    >>> scoped_id("orchard", "j1"), scoped_id(None, "j1")
    ('orchard/j1', 'j1')
    """
    return f"{tenant}{SCOPE_MARK}{identifier}" if tenant else identifier


def headers_for_replica(headers: Headers, tenant: str | None, tenant_header: str) -> list[tuple[str, str]]:
    """Return a caller's headers as a replica may see them.

    Where there are tenants, the credential and any tenant that the caller named are removed,
    and the name of the caller's own tenant is added, if it has one.

    >>> sent = [("Authorization", "Bearer k"), ("x-tenant", "forged"), ("A", "1")]
    >>> headers_for_replica(sent, "orchard", "X-Tenant")
    [('A', '1'), ('X-Tenant', 'orchard')]
    """
    if tenant is None:
        return list(headers)
    removed = {AUTHORIZATION, tenant_header.lower()}
    kept = [pair for pair in headers if pair[0].lower() not in removed]
    return [*kept, (tenant_header, tenant)] if tenant else kept
