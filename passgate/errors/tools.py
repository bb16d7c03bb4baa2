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
    """A chart's state has no transition for an event; details name ``chart``, ``state`` and ``event``."""

    code = "illegal_transition"


class VerificationFailed(PassgateError):
    """A check did not confirm what it must, for example because a property is violated or a file is old."""

    code = "verification_failed"
