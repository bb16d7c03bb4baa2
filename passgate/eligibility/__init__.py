"""Send rules, which decide to which replicas a request may be sent, and the state that they need."""
