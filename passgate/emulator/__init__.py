"""Emulators of the systems that passgate talks to, in virtual time and over sockets."""
