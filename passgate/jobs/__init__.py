"""Batch jobs: durable on the shared log, run by one daemon at a time, read at any.

``records`` are what stands on the log, ``fold`` makes the state of all jobs from
them, ``journal`` appends, ``ownership`` decides who runs a job, ``runner`` runs
its items, ``service`` answers callers.
"""
