"""Specifications of the core protocol: small models of it that ``minicheck`` explores exhaustively."""
