"""The page on the proof is generated from the committed measurement files."""

from __future__ import annotations

import pathlib

import pytest

from passgate.check import tables

ROOT = pathlib.Path(__file__).parent.parent


def test_page_matches_the_measurements():
    assert tables.render_page(str(ROOT)) == (ROOT / tables.PAGE).read_text()


@pytest.mark.parametrize("name", tables.table_names())
def test_page_without_a_place_for_a_table_is_an_error(name):
    with pytest.raises(tables.TableMissing):
        tables.replace_table("no place", name, "table")
