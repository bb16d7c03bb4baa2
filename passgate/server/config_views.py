"""Wire forms of configuration objects."""

from __future__ import annotations

import msgspec

from passgate.server.wire import ConfigObjectView
from passgate.state.configuration import ConfigObject


def view_object(item: ConfigObject) -> ConfigObjectView:
    """Return the wire form of a configuration object."""
    return ConfigObjectView(
        kind=item.kind,
        name=item.name,
        revision=item.revision,
        labels=item.labels,
        spec=msgspec.Raw(msgspec.json.encode(item.spec)),
    )
