"""passgate: a rollout service for reinforcement learning.

The package is every process between callers (trainers, applications) and back
ends (model engines, application services).  See ``docs/ARCHITECTURE.md``.
"""

__version__ = "0.1.0"
