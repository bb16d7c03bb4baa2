"""Singleton duties: calls to the platform that one daemon at a time makes on behalf of all.

The leader of the control topic performs them and sends its fencing token with each call.
"""
