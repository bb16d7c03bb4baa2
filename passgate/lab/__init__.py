"""Experiments: scenarios, comparisons, sweeps, scale runs and reports."""
