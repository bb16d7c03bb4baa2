"""Emulator of the outside systems, in virtual time and over sockets."""
