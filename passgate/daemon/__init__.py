"""Assembles one gateway daemon from its parts and shuts it down gracefully."""
