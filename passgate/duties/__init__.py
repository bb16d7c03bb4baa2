"""Singleton duties: calls to the platform that one daemon at a time makes on behalf of all.

The leader of the control topic performs them.  Each call carries a fencing token, a number that rises with
each change of the leader, by which the platform can refuse calls of a former leader.
"""
