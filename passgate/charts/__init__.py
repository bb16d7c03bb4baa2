"""State charts as YAML files, and tools to compile, document and measure them.

:mod:`passgate.statecharts` runs the compiled charts.
"""
