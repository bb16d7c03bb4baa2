"""Conversion of configuration objects to their JSON representation."""

from __future__ import annotations

import msgspec

from passgate.server.wire import ConfigObjectView
from passgate.state.configuration import ConfigObject


def make_object_view(config_object: ConfigObject) -> ConfigObjectView:
    """Return the JSON representation of a configuration object."""
    return ConfigObjectView(
        kind=config_object.kind,
        name=config_object.name,
        revision=config_object.revision,
        labels=config_object.labels,
        spec=msgspec.Raw(msgspec.json.encode(config_object.spec)),
    )
