"""Singleton duties: calls to the platform that one daemon at a time makes for all.

The leader of the control topic holds every duty; its fence is sent with each call.
"""
