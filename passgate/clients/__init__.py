"""Adapters of the interfaces to real protocols over HTTP."""
