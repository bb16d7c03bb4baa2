"""Replica choice, queues, limits, retries and the dispatcher that ties them together."""
