"""Adapter of the users' platform: its names, formats and calls; it decides nothing.

This folder lies inside the package because a package called ``platform`` at the
repository's root would shadow the standard library's module of that name.
"""
