"""One daemon: its parts, its two HTTP ports, its background work and its planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable, Coroutine
from random import Random
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from passgate import clock
from passgate.errors import DeadlineExceeded, PassgateError, PlatformError, SettingsError
from passgate.logging_setup import log_state_change
from passgate.membership.configuration_sync import ConfigurationSync
from passgate.metrics import DaemonMetrics
from passgate.schema import MachineRole
from passgate.server.cluster_status import ClusterStatus, DaemonStatus
from passgate.server.context import ServerContext, Services
from passgate.server.parts import Outside, Parts, build_parts, close_parts, connect_outside, make_http_client
from passgate.server.routes import CALLER_ROUTES, OPERATOR_ROUTES, Route, make_application
from passgate.settings import Settings, parse_address
from passgate.state.configuration import ConfigurationState
from passgate.statecharts import Machine

MACHINE_LIST_PERIOD_S = 1.0
JOIN_WAIT_S = 3.0
"""Longest wait for a first peer before a daemon serves on its own."""
POLL_S = 0.05
LOOP_LAG_PERIOD_S = 1.0
LOG_CHECK_PERIOD_S = 1.0
LOG_LOST_FAILURES = 3
"""Read failures in a row after which the log counts as lost."""
HEADER_HARD_LIMIT_FACTOR = 4
"""Headers over this many times the limit are cut off without an answer."""
FAILED_WORK_PAUSE_S = 1.0
SOCKET_BACKLOG = 1024


class Daemon:
    """Runs until :meth:`stop`; make and use it inside a running loop."""

    def __init__(
        self,
        settings: Settings,
        logger: logging.Logger,
        random: Random,
        outside: Outside | None = None,
    ) -> None:
        self._http = None if outside else make_http_client(settings)
        self.settings = settings
        self.parts: Parts = build_parts(settings, outside or connect_outside(settings, self._http), random)
        self.metrics = DaemonMetrics()
        self.life = Machine("daemon")
        self._logger = logger
        self._sync = ConfigurationSync(
            self.parts.membership, self.parts.configuration, Random(random.random())
        )
        self.context = ServerContext(
            settings, self._services(), self.life, self.metrics, logger, Random(random.random())
        )
        self.context.gate.starting = True
        self._servers: list[HTTPServer] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._stop: asyncio.Task[bool] | None = None
        self._catching_up: asyncio.Task[None] | None = None
        self.caller_address = ""
        self.operator_address = ""

    def _services(self) -> Services:
        parts = self.parts
        return Services(
            configuration=parts.configuration,
            dispatcher=parts.dispatcher,
            claims=parts.claims,
            lots=parts.lots,
            cluster_status=ClusterStatus(parts.membership, self._status),
        )

    def _status(self) -> DaemonStatus:
        revision = self.parts.configuration.state.revision
        return DaemonStatus(life=self.life.state, revision=revision, labels=self.settings.labels)

    # --- start -----------------------------------------------------------------------

    def start(self) -> None:
        """Open the ports and begin to catch up; requests are refused as not run until then."""
        self.caller_address = self._listen(CALLER_ROUTES, self.settings.caller_address)
        self.operator_address = self._listen(OPERATOR_ROUTES, self.settings.operator_address)
        parts = self.parts
        parts.configuration.subscribe(self._configuration_changed)
        parts.configuration.start()
        parts.leases.start()
        parts.membership.start()
        parts.membership.join(self.settings.seeds)
        self._sync.start()
        parts.dispatcher.start()
        self._catching_up = asyncio.ensure_future(self._catch_up())
        self._run(self._follow_machine_list)
        self._run(self._watch_log)
        self._run(self._measure_loop_lag)
        self._changed("daemon_started", callers=self.caller_address, operators=self.operator_address)

    def _listen(self, routes: tuple[Route, ...], address: str) -> str:
        limits = self.settings.limits
        host, port = parse_address(address)
        try:
            sockets = bind_sockets(port, host, backlog=SOCKET_BACKLOG)
        except OSError as error:
            raise SettingsError(
                f"can not listen on {address}: {error.strerror}", key=address, expected="a free address"
            ) from error
        server = HTTPServer(
            make_application(routes, self.context),
            max_header_size=limits.max_header_bytes * HEADER_HARD_LIMIT_FACTOR,
            max_body_size=limits.max_body_bytes * 2**20,
            idle_connection_timeout=limits.idle_connection_timeout_s,
        )
        server.add_sockets(sockets)
        self._servers.append(server)
        shown = f"[{host}]" if ":" in host else host
        return f"{shown}:{sockets[0].getsockname()[1]}"

    def _run(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run background work for ever: a failure that has no type is logged and the work goes on."""
        self._tasks.append(asyncio.ensure_future(self._run_for_ever(work)))

    async def _run_for_ever(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001  Whatever it is, the daemon goes on serving.
                self._changed(
                    "background_work_failed", logging.ERROR, work=work.__qualname__, failure=repr(error)
                )
                await asyncio.sleep(FAILED_WORK_PAUSE_S)

    async def _catch_up(self) -> None:
        """Become ready once the configuration in force is known, also to the peers heard of."""
        await self._until_configured(0)
        self.life.send("caught_up")
        await self._until_joined()
        # Peers are asked too: the log may have been read from a replica that lags behind it.
        await self._until_configured(await self._sync.highest_known())
        self.life.send("joined")
        self.parts.rollouts.start()
        self.context.gate.starting = False
        self.metrics.ready.set(1)
        self._changed("daemon_ready", revision=self.parts.configuration.state.revision)

    async def _until_configured(self, minimum_offset: int) -> None:
        configuration = self.parts.configuration
        while not configuration.ready_at(minimum_offset):
            with contextlib.suppress(DeadlineExceeded):
                await configuration.wait_ready(minimum_offset, POLL_S)

    async def _until_joined(self) -> None:
        """Wait for a first peer, for a bounded time: all others may be gone."""
        if not self.settings.seeds:
            return
        deadline_s = clock.monotonic_s() + JOIN_WAIT_S
        while len(self.parts.membership.members()) < 2 and clock.monotonic_s() < deadline_s:
            await asyncio.sleep(POLL_S)

    # --- background work ---------------------------------------------------------------

    def _configuration_changed(self, state: ConfigurationState) -> None:
        self.metrics.configuration_revision.set(state.revision)

    async def _follow_machine_list(self) -> None:
        """Feed the platform's list to the directory, and its daemons to membership."""
        readable = True
        while True:
            try:
                machines = await self.parts.outside.machine_list.machines()
            except PlatformError:
                if readable:
                    self._changed("machine_list_lost")
                readable = False
            else:
                if not readable:
                    self._changed("machine_list_back")
                readable = True
                self.parts.directory.apply_machines(machines, clock.monotonic_s())
                self._join_listed([item.address for item in machines if item.role is MachineRole.DAEMON])
            await asyncio.sleep(MACHINE_LIST_PERIOD_S)

    def _join_listed(self, addresses: list[str]) -> None:
        known = {member.address for member in self.parts.membership.members()}
        unknown = [address for address in addresses if address not in known]
        if unknown and self.life.within("running"):
            self.parts.membership.join(unknown)

    async def _watch_log(self) -> None:
        """Show in the daemon's life when the log can not be read."""
        counters = self.parts.configuration.follower.counters
        while True:
            before = counters.read_failures
            await asyncio.sleep(LOG_CHECK_PERIOD_S)
            failures = counters.read_failures - before
            if failures and self.life.can("log_lost"):
                self.life.send("log_lost")
                self._changed("log_lost")
            elif not failures and self.life.can("log_back"):
                self.life.send("log_back")
                self._changed("log_back")

    async def _measure_loop_lag(self) -> None:
        while True:
            due_s = clock.monotonic_s() + LOOP_LAG_PERIOD_S
            await asyncio.sleep(LOOP_LAG_PERIOD_S)
            self.metrics.loop_lag_seconds.set(max(0.0, clock.monotonic_s() - due_s))

    # --- planned stop --------------------------------------------------------------------

    async def stop(self) -> bool:
        """Stop as planned; return whether everything in flight was finished or handed over.

        Further calls wait for the same stop.
        """
        if self._stop is None:
            self._stop = asyncio.ensure_future(self._planned_stop())
        return await asyncio.shield(self._stop)

    async def _planned_stop(self) -> bool:
        stop = self.settings.stop
        await self._cancel([self._catching_up] if self._catching_up else [])
        self.life.send("stop")
        self.metrics.ready.set(0)
        self.context.gate.leaving = True
        self._changed("stop_announced", notice_s=stop.notice_s)
        await asyncio.sleep(stop.notice_s)
        self.life.send("announced")
        self.context.gate.refusing = True
        self._changed("stop_draining", in_flight=self.context.gate.in_flight)
        whole = await self._finish_work(stop.drain_timeout_s)
        self.life.send("finished")
        await self._hand_over(stop.leave_timeout_s)
        await self.close()
        self.life.send("handed_over")
        self._changed("daemon_stopped", whole=whole)
        return whole

    async def _finish_work(self, timeout_s: float) -> bool:
        """Finish or hand over lots, then all requests, then their records on the log."""
        started_s = clock.monotonic_s()
        lots, requests = await asyncio.gather(
            self._succeeds(self.parts.lots.drain(timeout_s)),
            self.context.gate.wait_idle(timeout_s),
        )
        left_s = max(POLL_S, started_s + timeout_s - clock.monotonic_s())
        calls = await self._succeeds(self.parts.dispatcher.drain(left_s))
        claims = await self.parts.claims.drain(left_s)
        return lots and requests and calls and claims

    async def _hand_over(self, timeout_s: float) -> None:
        await self._succeeds(self.parts.rollouts.drain(timeout_s))
        await self._succeeds(self._bounded(self.parts.leases.release_all(), timeout_s))
        await self._succeeds(self.parts.membership.leave(timeout_s))

    async def _bounded(self, work: Awaitable[None], timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            await work

    async def _succeeds(self, work: Awaitable[Any]) -> bool:
        try:
            return await work is not False
        except (TimeoutError, PassgateError) as error:
            self._changed("stop_step_failed", level=logging.WARNING, failure=type(error).__name__)
            return False

    async def close(self) -> None:
        """Stop at once: close ports, background work and parts."""
        await self._cancel([*self._tasks, *([self._catching_up] if self._catching_up else [])])
        for server in self._servers:
            server.stop()
        for server in self._servers:
            await server.close_all_connections()
        await self._sync.close()
        await close_parts(self.parts)
        if self._http is not None:
            self._http.close()

    async def _cancel(self, tasks: list[asyncio.Task[Any]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _changed(self, change: str, level: int = logging.INFO, **fields: object) -> None:
        log_state_change(self._logger, change, level, run=self.parts.run_id, life=self.life.state, **fields)


StopTrigger = Callable[[Callable[[], None]], None]


async def run_daemon(settings: Settings, logger: logging.Logger, on_stop_signal: StopTrigger) -> bool:
    """Run a daemon until its stop is asked for; return whether the stop was whole.

    ``on_stop_signal`` is given a function to call when the process is asked to stop.
    """
    daemon = Daemon(settings, logger, Random(settings.random_seed))
    asked = asyncio.Event()
    on_stop_signal(asked.set)
    daemon.start()
    await asked.wait()
    return await daemon.stop()
