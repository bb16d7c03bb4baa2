"""Selectors: parsing, matching, positions in errors, and the round trip through text."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passgate.errors import SelectorSyntaxError
from passgate.selectors import Operator, Selector, Term

NAMES = st.from_regex(r"[A-Za-z0-9]([A-Za-z0-9_./-]{0,8}[A-Za-z0-9])?", fullmatch=True)


@st.composite
def terms(draw):
    operator = draw(st.sampled_from(Operator))
    if operator in (Operator.EXISTS, Operator.ABSENT):
        return Term(draw(NAMES), operator)
    if operator in (Operator.EQUAL, Operator.NOT_EQUAL):
        return Term(draw(NAMES), operator, (draw(NAMES),))
    values = draw(st.sets(NAMES, min_size=1, max_size=4))
    return Term(draw(NAMES), operator, tuple(sorted(values)))


@given(st.lists(terms(), max_size=5))
def test_text_of_a_selector_parses_to_the_same_selector(drawn_terms):
    selector = Selector(tuple(drawn_terms))
    assert Selector.parse(str(selector)) == selector


@given(st.text(max_size=40))
def test_arbitrary_text_raises_only_selector_syntax_error(text):
    try:
        parsed = Selector.parse(text)
    except SelectorSyntaxError as error:
        assert 0 <= int(error.details["position"]) <= len(text)
    else:
        assert Selector.parse(str(parsed)) == parsed


@pytest.mark.parametrize(
    ("text", "labels", "expected"),
    [
        ("", {}, True),
        ("a", {}, False),
        ("a", {"a": ""}, True),
        ("!a", {}, True),
        ("a=b", {"a": "b"}, True),
        ("a==b", {"a": "c"}, False),
        ("a!=b", {}, True),
        ("a!=b", {"a": "b"}, False),
        ("a in (b,c)", {"a": "c"}, True),
        ("a in (b,c)", {}, False),
        ("a notin (b,c)", {}, True),
        ("a notin (b,c)", {"a": "b"}, False),
        ("in in (in), notin", {"in": "in", "notin": "x"}, True),
        ("  a = b , !c  ", {"a": "b"}, True),
        ("a=b,c", {"a": "b"}, False),
    ],
)
def test_matching(text, labels, expected):
    assert Selector.parse(text).matches(labels) is expected


@pytest.mark.parametrize(
    ("text", "position"),
    [
        ("a,", 2),
        (",a", 0),
        ("a=", 2),
        ("a in b", 5),
        ("a in ()", 6),
        ("a in (b", 7),
        ("a within (b)", 2),
        ("!a=b", 2),
        ("a=b c", 4),
        ("a~b", 1),
        ("é", 0),
        ("a=" + "b" * 300, 2),
    ],
)
def test_syntax_error_gives_the_position(text, position):
    with pytest.raises(SelectorSyntaxError) as caught:
        Selector.parse(text)
    assert caught.value.details["position"] == str(position)
