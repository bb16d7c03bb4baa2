"""The replicas that a daemon knows: from the platform's discovery, or through relays if they are many."""
