"""Keeps replicas on the versions of the model weights that trainers publish.

``leadership`` decides which daemon sends load orders, ``load_plan`` chooses the next loads and ``loader``
sends the orders.
"""
