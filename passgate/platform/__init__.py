"""Adapter of the users' platform: translates its names, message formats and HTTP calls.

Holds no policy; all decisions are made by the packages that it calls.  It must stay inside ``passgate``:
a top-level package ``platform`` would shadow the standard library's module of that name.
"""
