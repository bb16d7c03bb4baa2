"""The proof's page shows what the measurement files hold."""

from __future__ import annotations

import pathlib

import pytest

from passgate.check import tables

ROOT = pathlib.Path(__file__).parent.parent


def test_page_is_made_from_the_measurements():
    assert tables.render_page(str(ROOT)) == (ROOT / tables.PAGE).read_text()


@pytest.mark.parametrize("name", tables.table_names())
def test_every_table_has_its_place(name):
    with pytest.raises(tables.TableMissing):
        tables.replace_table("no place", name, "table")
