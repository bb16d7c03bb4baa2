"""Orders replicas to load the versions of model weights that trainers publish.

``leadership`` decides which daemon sends load orders, ``load_plan`` chooses the next loads and ``loader``
sends the orders.
"""
