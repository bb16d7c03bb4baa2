"""Recognizes requests that crash the replicas that run them, and quarantines them."""
