"""Model checking of the core protocols, and checks of recorded run histories."""
