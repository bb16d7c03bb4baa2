"""Calls and one-way messages between daemons.

``transport`` is the interface, ``peer_transport`` implements it over TCP with netstrings of JSON, and
``memory_transport`` in memory and virtual time.
"""
