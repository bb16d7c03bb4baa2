"""JSON log lines, one for each change of state; what happens often is counted instead.

>>> import io
>>> stream = io.StringIO()
>>> logger = configure_logging("INFO", "caruaru-1", stream)
>>> log_change(logger, "daemon_ready", revision=4)
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
    """Return passgate's logger, writing JSON lines to ``stream`` (default: standard error).

    Lines of tornado below WARNING are dropped: its access log is one line per
    request, and requests are counted.
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


def log_change(logger: logging.Logger, change: str, level: int = logging.INFO, **fields: object) -> None:
    """Write one line for a change of state; a credential among the fields is left out."""
    shown = {name: value for name, value in fields.items() if not isinstance(value, Credential)}
    logger.log(level, change, extra=shown)
