"""Label selectors: equality, set and existence terms joined by commas.

The grammar is that of label selectors as operators of label-based systems know
them; a comma means "and".  A term with ``!=`` or ``notin`` also matches labels
that lack the key.

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
_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9_./-]*[A-Za-z0-9])?")
_SPACE = re.compile(r"[ \t]*")


class Operator(enum.Enum):
    """Relation between a label key and the values of a term."""

    EXISTS = "exists"
    ABSENT = "!"
    EQUAL = "="
    NOT_EQUAL = "!="
    IN = "in"
    NOT_IN = "notin"


class Term(msgspec.Struct, frozen=True):
    """One condition on one label key."""

    key: str
    operator: Operator
    values: tuple[str, ...] = ()
    """Sorted and without repetition; empty for the existence terms."""

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
            SelectorSyntaxError: details give ``selector`` and ``position`` (from zero).
        """
        return cls(_Parser(text).selector())

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` satisfy all terms."""
        return all(term.matches(labels) for term in self.terms)

    def __str__(self) -> str:
        return ",".join(str(term) for term in self.terms)


class _Parser:
    def __init__(self, text: str) -> None:
        self._text = text
        self._position = 0

    def selector(self) -> tuple[Term, ...]:
        if len(self._text) > MAXIMUM_SELECTOR_CHARACTERS:
            raise self._error(f"selector is longer than {MAXIMUM_SELECTOR_CHARACTERS} characters")
        self._skip_space()
        if self._at_end():
            return ()
        terms = [self._term()]
        while self._take(","):
            terms.append(self._term())
        if not self._at_end():
            raise self._error("expected ',' or the end")
        return tuple(terms)

    def _term(self) -> Term:
        if self._take("!"):
            return Term(self._name("a label key"), Operator.ABSENT)
        key = self._name("a label key")
        if self._take("!="):
            return Term(key, Operator.NOT_EQUAL, (self._value(),))
        if self._take("==") or self._take("="):
            return Term(key, Operator.EQUAL, (self._value(),))
        if self._at_end() or self._text[self._position] == ",":
            return Term(key, Operator.EXISTS)
        return self._set_term(key)

    def _set_term(self, key: str) -> Term:
        start = self._position
        match = _NAME.match(self._text, start)
        word = match.group() if match else ""
        if word not in (Operator.IN.value, Operator.NOT_IN.value):
            raise self._error("expected '=', '==', '!=', 'in', 'notin', ',' or the end")
        self._position = start + len(word)
        self._skip_space()
        self._expect("(")
        values = {self._value()}
        while self._take(","):
            values.add(self._value())
        self._expect(")")
        return Term(key, Operator(word), tuple(sorted(values)))

    def _value(self) -> str:
        return self._name("a label value")

    def _name(self, expected: str) -> str:
        match = _NAME.match(self._text, self._position)
        if match is None:
            raise self._error(f"expected {expected}")
        if len(match.group()) > MAXIMUM_NAME_CHARACTERS:
            raise self._error(f"{expected} is longer than {MAXIMUM_NAME_CHARACTERS} characters")
        self._position = match.end()
        self._skip_space()
        return match.group()

    def _take(self, literal: str) -> bool:
        if not self._text.startswith(literal, self._position):
            return False
        self._position += len(literal)
        self._skip_space()
        return True

    def _expect(self, literal: str) -> None:
        if not self._take(literal):
            raise self._error(f"expected '{literal}'")

    def _skip_space(self) -> None:
        self._position = _SPACE.match(self._text, self._position).end()

    def _at_end(self) -> bool:
        return self._position == len(self._text)

    def _error(self, expected: str) -> SelectorSyntaxError:
        message = f"{expected} at position {self._position} of selector {self._text[:200]!r}"
        return SelectorSyntaxError(message, selector=self._text[:200], position=self._position)
