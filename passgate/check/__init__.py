"""Proof: model checking of the core protocol and history checking."""
