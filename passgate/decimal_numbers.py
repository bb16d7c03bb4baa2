"""Parses decimal numbers that other programs send.

``str.isdigit`` accepts characters that ``int`` rejects, and ``int`` rejects very long numbers, so neither
alone protects against malformed input.

>>> [parse_decimal(text) for text in ("42", "\u00b2", "-1", "", "9" * 99)]
[42, None, None, None, None]
"""

from __future__ import annotations

MAX_DIGITS = 18
"""Longest number that is parsed; it fits into 64 bits."""


def parse_decimal(text: str) -> int | None:
    """Return the number that 1 to MAX_DIGITS ASCII digits name; None for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
