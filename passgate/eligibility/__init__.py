"""Which replicas a request may be sent to now: one check before every send."""
