"""Capacity at the size aimed at, worked out from measured slopes; see docs/CAPACITY.md."""
