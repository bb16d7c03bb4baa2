"""The daemon: HTTP interfaces for callers and operators, and its life cycle."""
