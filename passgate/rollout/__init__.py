"""Weight rollouts: planning, staging and activating model versions under fencing tokens."""
