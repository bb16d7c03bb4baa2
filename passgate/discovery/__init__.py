"""Reads the list of replicas: directly from the discovery topic, or through relays if the list is long.

Replicas write their entries to the discovery topic of the log.  A relay is a daemon that reads these entries
and appends their changes to a topic that the other daemons read.
"""
