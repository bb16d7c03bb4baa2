"""Interface of a shared, partitioned log, and readers that follow it.

See :mod:`passgate.sharedlog.log` for the interface and :mod:`passgate.sharedlog.tail` for the readers.
"""
