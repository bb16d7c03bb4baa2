"""Calls and one-way messages between daemons.

``transport`` is the interface.  ``peer_transport`` implements the interface over TCP with netstrings of JSON,
``memory_transport`` in memory and virtual time.
"""
