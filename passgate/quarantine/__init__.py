"""Requests that crash the replicas that run them: recognized by their content, and sent no more."""
