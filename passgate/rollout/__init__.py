"""Weight rollouts: plans, waves, fenced orders to engines."""
