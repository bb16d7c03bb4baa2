"""Concurrent runs of the real daemons in virtual time, with faults, recorded and judged."""
