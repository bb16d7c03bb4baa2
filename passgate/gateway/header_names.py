"""Names of the HTTP headers between callers, gateway and replicas; :mod:`passgate.platform` supplies them."""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of headers; each text says what the header's value means."""

    request_id: str
    """Identifier of one request of a caller; a retry by the caller has another one.  Replicas echo it."""
    deadline_ms: str
    """Milliseconds for which the sender waits for the answer."""
    expected_replica: str
    """Identifier of the replica that the request is meant for; any other replica refuses it with 421."""
    replica_stamp: str
    """Set by a replica on each answer; the gateway accepts no 2xx answer to a plain request without it."""
    replica_id: str
    replica_load: str
    """Load of the replica that answers: running requests, waiting requests, slots, separated by commas."""
    not_executed: str
    """Set by a replica on a refusal, to confirm that it did not run the request."""
    weight_versions: str
    """Version of the model weights that produced an answer or an event."""
    expected_version: str
    last_event_id: str
    """Identifier of the last event that the sender received; a resumed stream continues after that event."""
    priority: str
    """Priority of the request at the replica; 0 is the most urgent."""
    model: str
    length_hint: str
    """The caller's estimate of the output's length in tokens."""
    prompt_parts: str
    wait_ms: str
    """Milliseconds for which a read of job results may be held until there are new ones."""
    tenant: str
    """Authenticated tenant; if tenants are configured, the gateway sets it and drops the caller's value."""
