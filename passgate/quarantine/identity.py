"""Identity of a request by its content, by which a request that its caller repeats is recognized.

A caller gives each repetition a request ID of its own, so the ID does not serve here.  Headers are left out,
as some of them, such as the remaining time, differ between repetitions.

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
"""Size of a fingerprint; large enough to make collisions improbable."""
CRASH_LIMIT = 2
"""Number of replica crashes that quarantines a request: a single crash may well have another cause, and after
two a service of three replicas still serves."""
LENGTH_PREFIX_BYTES = 8
"""Size of the length that is hashed before each part, which keeps the parts of a request apart."""


class RequestIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """The content of a request that identifies it, and its crash limit."""

    host: str
    method: str
    path: str
    """Path and query as the caller sent them."""
    tenant: str | None
    """Tenant of the caller; None if the deployment has no tenants."""
    body: bytes
    crash_limit: int = CRASH_LIMIT
    """Number of replica crashes that quarantines the request; not part of the fingerprint."""
    is_owed: bool = False
    """Whether the request must be run in any case, as it belongs to an accepted job.  It is never taken for
    the cause of a crash, whatever its ``crash_limit``; not part of the fingerprint."""

    def fingerprint(self) -> str:
        """Return a hexadecimal digest of the content."""
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
