"""Tenants, their API keys, and the authentication of callers.

The API keys of all tenants are compiled into one dictionary, so a request costs one look-up
whatever the number of keys.  A key must never appear in a log line, an error or a metric.

>>> index = ApiKeyIndex((Tenant(name="orchard", api_keys=("k1", "k2")),))
>>> index.authenticate((("authorization", "Bearer k2"),), public=False)
Caller(tenant='orchard', priority=None)
>>> index.authenticate((), public=True).tenant
''
>>> ApiKeyIndex(()).authenticate((), public=False).tenant is None
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
BEARER_SCHEME = "bearer"
ANONYMOUS_TENANT = ""
"""Tenant of a caller that is admitted to a public route without a valid key."""
TENANT_SEPARATOR = "/"
"""Separates the tenant's name from the identifier in a tenant-scoped identifier."""

Headers = Sequence[tuple[str, str]]


class Tenant(msgspec.Struct, frozen=True, kw_only=True):
    """A customer of the deployment, with the API keys of its callers."""

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    """Priority of its batch jobs, 0 the most urgent; None means the route's priority."""
    allowed_regions: frozenset[str] = frozenset()
    """Regions that may serve its requests and store their bodies; empty if any may."""


class Caller(msgspec.Struct, frozen=True, kw_only=True):
    """Result of authenticating a request: the tenant that sent it, if any."""

    tenant: str | None = None
    """Name of the tenant; ANONYMOUS_TENANT without a valid key on a public route; None if no tenants
    are configured."""
    priority: int | None = None
    """The tenant's priority; None if it has none of its own."""


class ApiKeyIndex:
    """Looks up callers by the API keys of one configuration."""

    def __init__(self, tenants: Sequence[Tenant]) -> None:
        """Index the tenants' keys.

        Raises InvalidConfiguration for an invalid or duplicate tenant name, an empty key, or a key that
        two tenants share.
        """
        self._keys_required = bool(tenants)
        self._callers_by_key: dict[str, Caller] = {}
        names: set[str] = set()
        for tenant in tenants:
            _validate_tenant_name(tenant.name, names)
            names.add(tenant.name)
            caller = Caller(tenant=tenant.name, priority=tenant.priority)
            for key in tenant.api_keys:
                self._add_key(key, caller)

    def _add_key(self, key: str, caller: Caller) -> None:
        if not key:
            raise InvalidConfiguration("an API key of the tenant is empty", tenant=caller.tenant)
        owner = self._callers_by_key.setdefault(key, caller)
        if owner is not caller:
            raise InvalidConfiguration(
                "two tenants have the same API key", tenant=caller.tenant, other_tenant=owner.tenant
            )

    def authenticate(self, headers: Headers, *, public: bool) -> Caller:
        """Return the caller that the ``Authorization`` header identifies.

        Without configured tenants, nothing is checked and the caller's tenant is None.  For a missing or
        wrong credential, the tenant is ANONYMOUS_TENANT if ``public``; otherwise MissingCredential,
        MalformedCredential or UnknownKey is raised.
        """
        if not self._keys_required:
            return Caller()
        try:
            return self._authenticate(headers)
        except Unauthorized:
            if public:
                return Caller(tenant=ANONYMOUS_TENANT)
            raise

    def _authenticate(self, headers: Headers) -> Caller:
        credentials = [value for name, value in headers if name.lower() == AUTHORIZATION]
        if not credentials:
            raise MissingCredential("the Authorization header is missing", execution=ExecutionStatus.NOT_RUN)
        if len(credentials) > 1:
            raise MalformedCredential("more than one Authorization header", execution=ExecutionStatus.NOT_RUN)
        scheme, _, key = credentials[0].strip().partition(" ")
        key = key.strip()
        if scheme.lower() != BEARER_SCHEME or not key:
            raise MalformedCredential(
                "the Authorization header does not have the form 'Bearer KEY'",
                execution=ExecutionStatus.NOT_RUN,
            )
        caller = self._callers_by_key.get(key)
        if caller is None:
            raise UnknownKey("no tenant has this API key", execution=ExecutionStatus.NOT_RUN)
        return caller


def _validate_tenant_name(name: str, earlier_names: set[str]) -> None:
    """Check that a tenant's name is usable in identifiers, headers and log lines, and is unique.

    Raises InvalidConfiguration.
    """
    if not name or not name.isascii() or not name.isprintable() or TENANT_SEPARATOR in name or " " in name:
        raise InvalidConfiguration(
            "a tenant's name must be non-empty printable ASCII without spaces and slashes", tenant=name
        )
    if name in earlier_names:
        raise InvalidConfiguration("two tenants have the same name", tenant=name)


def tenant_scoped_id(tenant: str | None, identifier: str) -> str:
    """Return an identifier with the tenant's name before it, or unchanged without a tenant's name.

    Callers choose the identifiers of their jobs and items, so two tenants may choose the same one.

    >>> tenant_scoped_id("orchard", "j1"), tenant_scoped_id(None, "j1")
    ('orchard/j1', 'j1')
    """
    return f"{tenant}{TENANT_SEPARATOR}{identifier}" if tenant else identifier


def replica_headers(headers: Headers, tenant: str | None, tenant_header: str) -> list[tuple[str, str]]:
    """Return a caller's headers with the tenant as the replica is to see it.

    The credential and any tenant header of the caller are removed, and ``tenant`` is added unless it is
    ANONYMOUS_TENANT.  If ``tenant`` is None (no tenants are configured), nothing is changed.

    >>> sent = [("Authorization", "Bearer k"), ("x-tenant", "forged"), ("A", "1")]
    >>> replica_headers(sent, "orchard", "X-Tenant")
    [('A', '1'), ('X-Tenant', 'orchard')]
    """
    if tenant is None:
        return list(headers)
    removed = {AUTHORIZATION, tenant_header.lower()}
    forwarded = [pair for pair in headers if pair[0].lower() not in removed]
    return [*forwarded, (tenant_header, tenant)] if tenant else forwarded
