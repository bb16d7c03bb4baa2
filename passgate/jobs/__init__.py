"""Batch jobs, stored on the shared log: one daemon, the owner, runs a job; any daemon can read its results.

``records`` defines the log's records, and ``projection`` builds the state of all jobs from them.
``journal`` appends records, ``ownership`` decides which daemon runs a job, ``runner`` runs a
job's items, and ``service`` serves callers and other daemons.
"""
