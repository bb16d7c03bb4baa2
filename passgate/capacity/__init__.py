"""Plans the replicas and daemons that a load needs, and tabulates what each further daemon costs."""
