"""Failure detection and dissemination between daemons."""
