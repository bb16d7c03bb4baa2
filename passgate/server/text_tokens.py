"""Conversion between text and token identifiers for callers that send text.

Engines take token identifiers.  A text prompt is encoded as one token for each byte of its UTF-8 encoding.
Output tokens below 256 are decoded the same way; any other token becomes U+FFFD.  Callers that use the
model's vocabulary send ``prompt`` as token identifiers and read ``token_ids``.

>>> encode_text("né")
(110, 195, 169)
>>> TextDecoder().decode((110, 195, 169, 70000), final=True)
'né�'
"""

from __future__ import annotations

import codecs
from collections.abc import Iterable, Sequence

from passgate.server.wire import ChatMessage

BYTE_TOKEN_COUNT = 256
REPLACEMENT_CHARACTER_BYTES = "\ufffd".encode()


def encode_text(text: str) -> tuple[int, ...]:
    """Return one token per byte of the text's UTF-8 encoding; lone surrogates become ``?``."""
    return tuple(text.encode("utf-8", errors="replace"))


def encode_chat(messages: Sequence[ChatMessage]) -> tuple[int, ...]:
    """Return the tokens of a conversation: one ``role: content`` line each, then ``assistant:``."""
    lines = [f"{message.role}: {message.content}\n" for message in messages]
    return encode_text("".join(lines) + "assistant:")


class TextDecoder:
    """Decodes the tokens of one output incrementally; a character is returned with its last byte."""

    def __init__(self) -> None:
        self._decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")

    def decode(self, tokens: Iterable[int], final: bool = False) -> str:
        """Return the text of the next tokens; with ``final`` an incomplete character becomes U+FFFD."""
        encoded = (
            bytes((token,)) if 0 <= token < BYTE_TOKEN_COUNT else REPLACEMENT_CHARACTER_BYTES
            for token in tokens
        )
        return self._decoder.decode(b"".join(encoded), final)
