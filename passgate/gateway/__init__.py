"""The gateway: takes callers' requests, forwards them to replicas, serves batch jobs.

Modules, in the order of a request's way: ``ingress`` (HTTP server), ``routes``
(route table), ``forwarder`` (attempts, hedging, refusals), ``replicas`` (who may
serve it), ``replica_call`` (one attempt); ``daemon`` connects them.
"""
