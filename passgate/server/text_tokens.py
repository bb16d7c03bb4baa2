"""Mapping between text and token identifiers for callers that send text.

Engines take token identifiers.  A text prompt is mapped to one token for each
byte of its UTF-8 form, and output tokens below 256 are mapped back the same
way; any other token shows as U+FFFD.  Callers that need a real vocabulary send
``prompt`` as token identifiers and read ``token_ids``.

>>> encode_text("né")
(110, 195, 169)
>>> TextDecoder().decode((110, 195, 169, 70000), final=True)
'né�'
"""

from __future__ import annotations

import codecs
from collections.abc import Iterable, Sequence

from passgate.server.wire import ChatMessage

BYTE_TOKENS = 256
OTHER_TOKEN_BYTES = "\ufffd".encode()


def encode_text(text: str) -> tuple[int, ...]:
    """Return one token per byte of the text's UTF-8 form; lone surrogates become ``?``."""
    return tuple(text.encode("utf-8", errors="replace"))


def encode_chat(messages: Sequence[ChatMessage]) -> tuple[int, ...]:
    """Return the tokens of a conversation: one ``role: content`` line each, then ``assistant:``."""
    lines = [f"{message.role}: {message.content}\n" for message in messages]
    return encode_text("".join(lines) + "assistant:")


class TextDecoder:
    """Turns output tokens into text piece by piece, keeping characters whole."""

    def __init__(self) -> None:
        self._decoder = codecs.getincrementaldecoder("utf-8")(errors="replace")

    def decode(self, tokens: Iterable[int], final: bool = False) -> str:
        """Return the text that these further tokens complete."""
        parts = (bytes((token,)) if 0 <= token < BYTE_TOKENS else OTHER_TOKEN_BYTES for token in tokens)
        return self._decoder.decode(b"".join(parts), final)
