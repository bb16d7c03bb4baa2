"""Identity of a request by its content, so that a repeated request is recognized.

Each attempt of a caller has its own request ID, so the ID cannot identify a request.  Headers are left out,
as some of them, such as the remaining time, differ between attempts.

>>> first = RequestIdentity(host="h", method="POST", path="/a?b=1", tenant="t", body=b"x")
>>> repeated = RequestIdentity(host="h", method="POST", path="/a?b=1", tenant="t", body=b"x")
>>> first.fingerprint() == repeated.fingerprint()
True
>>> len(first.fingerprint())
32
"""

from __future__ import annotations

import hashlib

import msgspec

FINGERPRINT_BYTES = 16
"""128 bits, so that collisions are infeasible, also for a caller who tries to cause one."""
CRASH_LIMIT = 2
"""Replica crashes after which a request is quarantined; a single crash may well have another cause."""
ITEM_CRASH_LIMIT = 3
"""Crash limit of job items and reward calls; higher, as many run concurrently at a replica and a wrong
quarantine may delay a training step."""
LENGTH_PREFIX_BYTES = 8
"""Size of the length that is hashed before each part, so that the parts are unambiguous."""


class RequestIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """The content of a request."""

    host: str
    method: str
    path: str
    """Path and query as the caller sent them."""
    tenant: str | None
    """Tenant of the caller; None if the deployment has no tenants."""
    body: bytes
    crash_limit: int = CRASH_LIMIT
    """Replica crashes after which the request is quarantined; not part of the fingerprint."""

    def fingerprint(self) -> str:
        """Return a hexadecimal digest of the content; it does not reveal the content."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        tenant = "" if self.tenant is None else f"tenant {self.tenant}"
        for text in (self.host, self.method, self.path, tenant):
            _add(digest, text.encode())
        _add(digest, self.body)
        return digest.hexdigest()


def _add(digest: hashlib.blake2b, part: bytes) -> None:
    """Add a part, prefixed by its length, to a digest."""
    digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
    digest.update(part)
