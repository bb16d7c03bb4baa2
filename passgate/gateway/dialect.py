"""Header names that callers and replicas use; an adapter fills them in."""

from __future__ import annotations

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the headers that the gateway reads or sets."""

    request_id: str
    """Identifies one attempt of a caller; replicas echo it."""
    deadline_ms: str
    """Milliseconds that the sender waits for the answer."""
    expected_replica: str
    """Replica that shall serve the request; any other refuses it."""
    replica_stamp: str
    replica_id: str
    replica_load: str
    """Running, waiting, slots of the replica."""
    not_executed: str
    """Says that the replica did not run the request."""
    weight_versions: str
    """Version of the weights that made an answer or an event."""
    expected_version: str
    last_event_id: str
    priority: str
    model: str
    length_hint: str
    prompt_parts: str
    wait_ms: str
    tenant: str
    """Tenant of the caller; set by the gateway, whatever the caller sent."""
