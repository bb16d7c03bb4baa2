"""Builds a daemon for the users' platform from the settings file, and runs the daemon."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys

from passgate.clients.curl import HttpClient
from passgate.clock import DaemonEventLoop
from passgate.daemon.gateway_daemon import GatewayDaemon
from passgate.daemon.http_client import make_http_client
from passgate.daemon.topics import LogTopics
from passgate.discovery.service import ReplicaTopics
from passgate.gateway.settings import GatewaySettings
from passgate.peers.peer_transport import TcpPeerTransport, parse_address
from passgate.platform import names
from passgate.platform.duty_calls import PlatformDutyClient
from passgate.platform.http_api import FrontRequestHandler, PlatformReplicaControl
from passgate.platform.log_client import PlatformLog
from passgate.platform.settings import SettingsWatcher, read_settings, settings_path
from passgate.platform.topic_records import OperatorTopicHandler, PlatformReplicaDecoder
from passgate.process_signals import block_signals, install_signal_handlers

OPERATOR_READ_PAUSE_S = 0.05
"""Pause between reads of the operator's topic; short, as changes must take effect within seconds."""


def make_daemon(settings: GatewaySettings, http: HttpClient, log: PlatformLog) -> GatewayDaemon:
    """Return a daemon, not yet running, that reads and writes the platform's topics."""
    topics = LogTopics(
        operator=names.OPERATOR_TOPIC,
        replicas=ReplicaTopics(
            entries=names.REPLICAS_TOPIC,
            changes=names.REPLICA_CHANGES_TOPIC,
            parts=names.REPLICA_LIST_TOPIC,
        ),
        jobs=names.JOBS_TOPIC,
        control=names.CONTROL_TOPIC,
        crashes=names.CRASHES_TOPIC,
        watch_group=names.WATCH_GROUP,
    )
    control = PlatformReplicaControl(http)
    host, port = parse_address(settings.peer_address)
    peers = TcpPeerTransport(host, port)
    duty_client = PlatformDutyClient(http, settings.duties.address) if settings.duties is not None else None
    daemon = GatewayDaemon(
        settings, names.HEADERS, topics, http, log, control, PlatformReplicaDecoder(), peers, duty_client
    )
    handler = OperatorTopicHandler(daemon)
    daemon.follow_keyed_topic(
        topics.operator, OPERATOR_READ_PAUSE_S, handler.apply_snapshot, handler.apply_records
    )
    return daemon


def make_runner() -> asyncio.Runner:
    """Return an asyncio runner whose loop's clock goes on while the machine is suspended."""
    return asyncio.Runner(loop_factory=DaemonEventLoop)


async def serve() -> None:
    """Run one daemon; SIGTERM or SIGINT begins a graceful shutdown, SIGHUP reloads the settings file."""
    with contextlib.suppress(OSError):
        os.set_blocking(sys.stdout.fileno(), False)  # a stalled reader of stdout must not block the loop
    settings = read_settings(settings_path())
    http = make_http_client()
    log = PlatformLog(http, settings.log_address)
    daemon = make_daemon(settings, http, log)
    watcher = SettingsWatcher(daemon, log, settings_path())
    install_signal_handlers(
        {signal.SIGTERM: daemon.stop, signal.SIGINT: daemon.stop, signal.SIGHUP: watcher.reload}
    )
    watch_task = asyncio.get_running_loop().create_task(watcher.run())
    await daemon.run(FrontRequestHandler(daemon).handle)
    block_signals()
    watch_task.cancel()
    http.close()


def main() -> None:
    """Run a daemon with the settings file at :func:`settings_path`; raises SettingsError."""
    with make_runner() as daemon_runner:
        daemon_runner.run(serve())
