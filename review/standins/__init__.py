"""Stand-ins of clients, replicas and the platform for the cases of the review."""
