"""passgate: a rollout service for reinforcement learning.

Its daemons run between callers (trainers, applications) and back ends (model engines, application
services).  See ``docs/ARCHITECTURE.md``.
"""

__version__ = "0.1.0"
