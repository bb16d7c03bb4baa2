"""What makes two tries the same request: everything that a replica works on.

A try has an identifier of its own, so a request that comes again is recognized by its
content.  Headers are left out: some, such as the time left, differ with each try.

>>> first = RequestIdentity(host="h", method="POST", path="/a?b=1", tenant="t", body=b"x")
>>> again = RequestIdentity(host="h", method="POST", path="/a?b=1", tenant="t", body=b"x")
>>> first.fingerprint() == again.fingerprint()
True
>>> len(first.fingerprint())
32
"""

from __future__ import annotations

import hashlib

import msgspec

FINGERPRINT_BYTES = 16
"""128 bits: two different requests never meet by chance, nor by a caller's design."""
CRASH_LIMIT = 2
"""Replicas that a request may end before it is held.  One says nothing, as a replica that ends for a
reason of its own has requests running; the least that does keeps a service of three alive."""
ITEM_CRASH_LIMIT = 3
"""The same for an item of a batch job.  A replica runs many at once, so one more replica is risked
before an item is held, which may cost its job a whole step."""
LENGTH_BYTES = 8
"""Each part is hashed behind its length, so that parts can't run into each other."""


class RequestIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """The content of a request."""

    host: str
    method: str
    path: str
    """Path and query as the caller sent them."""
    tenant: str | None
    """Tenant of the caller; None where the deployment has none."""
    body: bytes
    crash_limit: int = CRASH_LIMIT
    """Replicas that may end under the request before it is held; not part of its content."""

    def fingerprint(self) -> str:
        """Return a digest of the content in hexadecimal; it tells nothing of the content itself."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        tenant = "" if self.tenant is None else f"tenant {self.tenant}"
        for text in (self.host, self.method, self.path, tenant):
            _add(digest, text.encode())
        _add(digest, self.body)
        return digest.hexdigest()


def _add(digest: hashlib.blake2b, part: bytes) -> None:
    digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
    digest.update(part)
