"""Runs of the real daemons in virtual time under faults, whose histories are recorded and checked."""
