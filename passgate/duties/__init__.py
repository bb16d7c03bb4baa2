"""Singleton duties: calls to the platform that one daemon at a time makes on behalf of all.

The leader of the control topic performs them.  Each call carries a fencing token, a number that is higher for
each later leader, so that the platform can refuse the calls of a former leader.
"""
