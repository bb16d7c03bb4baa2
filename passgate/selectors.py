"""Label selectors: equality, set and existence terms separated by commas.

The grammar, given below, follows that of Kubernetes' label selectors.  A comma means "and".  A term with
``!=`` or ``notin`` also matches labels without the key.

>>> selector = Selector.parse("zone in (caruaru, campina), tier=gold, !canary")
>>> selector.matches({"zone": "caruaru", "tier": "gold"})
True
>>> selector.matches({"zone": "caruaru", "tier": "gold", "canary": "yes"})
False
>>> str(Selector.parse("tier == gold,zone  notin(b,a)"))
'tier=gold,zone notin (a,b)'

Grammar::

    selector = [ term { "," term } ]
    term     = key | "!" key | key ("=" | "==" | "!=") value | key ("in" | "notin") values
    values   = "(" value { "," value } ")"
"""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping

import msgspec

from passgate.errors import SelectorSyntaxError

MAXIMUM_SELECTOR_CHARACTERS = 4096
MAXIMUM_NAME_CHARACTERS = 253
_NAME_PATTERN = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?")
_BLANKS_PATTERN = re.compile(r"[ \t]*")


class Operator(enum.Enum):
    """Relation that a term requires between a label and its values."""

    EXISTS = "exists"
    ABSENT = "!"
    EQUAL = "="
    NOT_EQUAL = "!="
    IN = "in"
    NOT_IN = "notin"


class Term(msgspec.Struct, frozen=True):
    """A condition on the label with one key."""

    key: str
    operator: Operator
    values: tuple[str, ...] = ()
    """Sorted and unique; empty for EXISTS and ABSENT."""

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` satisfy this term."""
        value = labels.get(self.key)
        if self.operator is Operator.EXISTS:
            return value is not None
        if self.operator is Operator.ABSENT:
            return value is None
        if self.operator in (Operator.EQUAL, Operator.IN):
            return value in self.values
        return value not in self.values

    def __str__(self) -> str:
        if self.operator is Operator.EXISTS:
            return self.key
        if self.operator is Operator.ABSENT:
            return f"!{self.key}"
        if self.operator in (Operator.EQUAL, Operator.NOT_EQUAL):
            return f"{self.key}{self.operator.value}{self.values[0]}"
        return f"{self.key} {self.operator.value} ({','.join(self.values)})"


class Selector(msgspec.Struct, frozen=True):
    """A conjunction of terms; without terms it matches everything."""

    terms: tuple[Term, ...] = ()

    @classmethod
    def parse(cls, text: str) -> Selector:
        """Parse a selector.

        Raises:
            SelectorSyntaxError: details give ``selector`` and ``position``, counted from 0.
        """
        return cls(_Parser(text).selector())

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` satisfy all terms."""
        return all(term.matches(labels) for term in self.terms)

    def __str__(self) -> str:
        return ",".join(str(term) for term in self.terms)


class _Parser:
    """Recursive-descent parser; each method parses one rule of the grammar, and blanks after it."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0

    def selector(self) -> tuple[Term, ...]:
        if len(self._text) > MAXIMUM_SELECTOR_CHARACTERS:
            raise self._error(f"selector is longer than {MAXIMUM_SELECTOR_CHARACTERS} characters")
        self._skip_blanks()
        if self._at_end():
            return ()
        terms = [self._term()]
        while self._consume(","):
            terms.append(self._term())
        if not self._at_end():
            raise self._error("expected ',' or the end of the selector")
        return tuple(terms)

    def _term(self) -> Term:
        if self._consume("!"):
            return Term(self._name("a label key"), Operator.ABSENT)
        key = self._name("a label key")
        if self._consume("!="):
            return Term(key, Operator.NOT_EQUAL, (self._value(),))
        if self._consume("==") or self._consume("="):
            return Term(key, Operator.EQUAL, (self._value(),))
        if self._at_end() or self._text[self._position] == ",":
            return Term(key, Operator.EXISTS)
        return self._set_term(key)

    def _set_term(self, key: str) -> Term:
        start = self._position
        match = _NAME_PATTERN.match(self._text, start)
        word = match.group() if match else ""
        if word not in (Operator.IN.value, Operator.NOT_IN.value):
            raise self._error("expected '=', '==', '!=', 'in', 'notin', ',' or the end of the selector")
        self._position = start + len(word)
        self._skip_blanks()
        self._expect("(")
        values = {self._value()}
        while self._consume(","):
            values.add(self._value())
        self._expect(")")
        return Term(key, Operator(word), tuple(sorted(values)))

    def _value(self) -> str:
        return self._name("a label value")

    def _name(self, expected: str) -> str:
        match = _NAME_PATTERN.match(self._text, self._position)
        if match is None:
            raise self._error(f"expected {expected}")
        if len(match.group()) > MAXIMUM_NAME_CHARACTERS:
            raise self._error(f"{expected} is longer than {MAXIMUM_NAME_CHARACTERS} characters")
        self._position = match.end()
        self._skip_blanks()
        return match.group()

    def _consume(self, literal: str) -> bool:
        """Advance past ``literal`` if it is next; return whether it was."""
        if not self._text.startswith(literal, self._position):
            return False
        self._position += len(literal)
        self._skip_blanks()
        return True

    def _expect(self, literal: str) -> None:
        if not self._consume(literal):
            raise self._error(f"expected '{literal}'")

    def _skip_blanks(self) -> None:
        self._position = _BLANKS_PATTERN.match(self._text, self._position).end()

    def _at_end(self) -> bool:
        return self._position == len(self._text)

    def _error(self, problem: str) -> SelectorSyntaxError:
        message = f"{problem} at position {self._position} of selector {self._text[:200]!r}"
        return SelectorSyntaxError(message, selector=self._text[:200], position=self._position)
