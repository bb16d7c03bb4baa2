"""Failures of settings, state charts and checks."""

from __future__ import annotations

from passgate.errors.base import PassgateError


class SettingsError(PassgateError):
    """A settings file or flag is wrong; details name ``file``, ``key`` and ``expected``."""

    code = "bad_settings"


class ChartError(PassgateError):
    """A state chart file is missing or wrong; details name ``chart``."""

    code = "bad_chart"


class IllegalTransition(PassgateError):
    """A state chart takes no such event now; details name ``chart``, ``state``, ``event``."""

    code = "illegal_transition"


class VerificationFailed(PassgateError):
    """A checker found a violated property."""

    code = "verification_failed"
