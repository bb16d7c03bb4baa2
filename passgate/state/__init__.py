"""Replicated state: deterministic folds over the platform log and the services on them."""
