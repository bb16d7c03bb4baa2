"""Configures logging as JSON lines, which report changes of state; frequent events are metrics instead.

>>> import io
>>> stream = io.StringIO()
>>> logger = configure_logging("INFO", "caruaru-1", stream)
>>> log_state_change(logger, "daemon_ready", revision=4)
>>> '"change": "daemon_ready"' in stream.getvalue(), '"daemon_id": "caruaru-1"' in stream.getvalue()
(True, True)
"""

from __future__ import annotations

import logging
import sys
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

from passgate.settings import Credential

LOGGER_NAME = "passgate"


def configure_logging(level: str, daemon_id: str, stream: TextIO | None = None) -> logging.Logger:
    """Replace the handlers of the root logger by one that writes JSON lines; return passgate's logger.

    Lines of ``tornado.access`` and ``tornado.general`` below ERROR are dropped: metrics count the requests.

    Args:
        level: lowest level of passgate's lines; libraries other than Tornado log from WARNING on.
        daemon_id: identifier of the daemon, part of each line.
        stream: where the lines are written; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(message)s %(levelname)s %(name)s",
            rename_fields={"message": "change", "levelname": "level", "name": "logger"},
            static_fields={"daemon_id": daemon_id},
            timestamp="time",
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.WARNING)
    for name in ("tornado.access", "tornado.general"):
        logging.getLogger(name).setLevel(logging.ERROR)
    logger = logging.getLogger(LOGGER_NAME)
    logger.setLevel(level)
    return logger


def log_state_change(
    logger: logging.Logger, change: str, level: int = logging.INFO, **fields: object
) -> None:
    """Log one change of state with its fields; a field whose value is a ``Credential`` is left out."""
    shown = {name: value for name, value in fields.items() if not isinstance(value, Credential)}
    logger.log(level, change, extra=shown)
