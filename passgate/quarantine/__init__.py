"""Detects requests that crash the replicas that run them, and quarantines these requests for a while."""
