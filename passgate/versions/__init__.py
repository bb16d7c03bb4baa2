"""Brings replicas to the versions of the weights that trainers name.

``leadership`` decides which daemon gives orders, ``loader`` gives them.
"""
