"""One daemon of the users' platform, put together from its parts, and its planned stop."""
