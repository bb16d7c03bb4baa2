"""Entry point of a daemon on the users' platform: ``python -m passgate.platform``."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

from passgate.gateway.daemon import GatewayDaemon, LogTopics, make_http_client
from passgate.platform import names
from passgate.platform.beliefs import Beliefs
from passgate.platform.front import Front, PlatformReplicaControl
from passgate.platform.log_client import PlatformLog
from passgate.platform.settings import SettingsWatcher, read_settings, settings_path

OPERATOR_GAP_S = 0.05
REPLICAS_GAP_S = 0.25
"""Heartbeats come often; reading them in batches saves calls."""


async def serve() -> None:
    """Run one daemon until SIGTERM."""
    with contextlib.suppress(OSError):
        os.set_blocking(sys.stdout.fileno(), False)  # a reader that takes nothing must not stall the loop
    settings = read_settings(settings_path())
    http = make_http_client()
    topics = LogTopics(operator=names.OPERATOR_TOPIC, replicas=names.REPLICAS_TOPIC, jobs=names.JOBS_TOPIC)
    log = PlatformLog(http, settings.log_address)
    daemon = GatewayDaemon(settings, names.HEADERS, topics, http, log, PlatformReplicaControl(http))
    beliefs = Beliefs(daemon)
    daemon.follow(topics.operator, OPERATOR_GAP_S, beliefs.take_operator, beliefs.take_operator)
    daemon.follow(topics.replicas, REPLICAS_GAP_S, beliefs.replace_replicas, beliefs.update_replicas)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, daemon.stop)
    loop.add_signal_handler(signal.SIGINT, daemon.stop)
    watcher = SettingsWatcher(daemon, log, settings_path())
    loop.add_signal_handler(signal.SIGHUP, watcher.read)
    watching = loop.create_task(watcher.run())
    await daemon.run(Front(daemon).handle)
    watching.cancel()
    http.close()


if __name__ == "__main__":
    asyncio.run(serve())
