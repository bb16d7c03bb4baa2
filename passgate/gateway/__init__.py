"""The gateway: an HTTP server that authenticates callers and forwards their requests to replicas.

A request passes through ``ingress`` (HTTP server), ``access`` (API keys), ``routes`` (route table),
``forwarder`` or ``stream_forwarder`` (attempts, hedging, refusals), ``replica_table`` (choice of a replica)
and ``replica_client`` (one attempt at one replica).  ``passgate.daemon`` connects these modules.
"""
