"""Rules that decide to which replicas a request may be sent; they are checked before every send."""
