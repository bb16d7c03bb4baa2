"""The list of replicas that a daemon knows: read from discovery directly, or through relays if it is long."""
