"""HTTP clients that implement the protocols of :mod:`passgate.interfaces`, and their common parts."""
