"""Interface of a shared, partitioned log, readers that follow it, and membership in its groups.

See :mod:`passgate.sharedlog.log` for the interface and :mod:`passgate.sharedlog.tail` for the readers.
"""
