"""Errors of settings, state charts and checks."""

from __future__ import annotations

from passgate.errors.base import PassgateError


class SettingsError(PassgateError):
    """A setting or option is invalid; details may name ``file``, ``key`` and ``expected``."""

    code = "bad_settings"


class ChartError(PassgateError):
    """A state chart or one of its states does not exist, or its file can not be compiled."""

    code = "bad_chart"


class IllegalTransition(PassgateError):
    """The current state of a chart accepts no such event; details name ``chart``, ``state`` and ``event``."""

    code = "illegal_transition"


class VerificationFailed(PassgateError):
    """A check found a violated property or an outdated file."""

    code = "verification_failed"
