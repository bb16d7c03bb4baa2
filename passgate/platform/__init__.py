"""Adapter between the gateway and the users' platform: names, message formats and HTTP calls.

The package holds no policy.  It must stay inside ``passgate``, as a top-level package ``platform`` would
shadow the standard library's module of that name.
"""
