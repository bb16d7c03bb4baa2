"""Calls and messages between daemons: netstrings of JSON over TCP, or in virtual time.

``transport`` is the interface; ``peer_transport`` carries it over sockets and
``memory_transport`` in virtual time.
"""
