"""Batch jobs, stored on the shared log: each is run by one daemon at a time and can be read at any daemon.

``records`` defines the log's records, and a projection of them is the state of all jobs.
``journal`` appends records, ``ownership`` decides which daemon runs a job, ``runner`` runs a
job's items, and ``service`` serves callers and other daemons.
"""
