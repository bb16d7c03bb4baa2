"""State charts as YAML files; interpreted by :mod:`passgate.statecharts`."""
