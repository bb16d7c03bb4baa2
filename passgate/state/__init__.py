"""Replicated state: deterministic projections of the platform log, and services built on them."""
