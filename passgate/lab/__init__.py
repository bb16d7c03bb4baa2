"""Experiments in the emulator: scenarios, comparisons of policies, sweeps of a parameter, and plots."""
