"""The gateway: an HTTP server that authenticates callers and forwards their requests to replicas.

A request passes through ``ingress`` (HTTP server), ``access`` (API keys), ``routes`` (route table),
``forwarder`` or ``stream_forwarder`` (attempts, hedging, refusals), ``replicas`` (choice of a replica)
and ``replica_call`` (one attempt at one replica).  ``passgate.daemon`` connects these modules.
"""
