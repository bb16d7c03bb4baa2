"""One daemon of ``passgate serve``: its components, HTTP servers, background tasks and graceful shutdown."""

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
from passgate.server.components import (
    DaemonComponents,
    ExternalClients,
    build_components,
    close_components,
    connect_external_systems,
    make_http_client,
)
from passgate.server.context import ServerContext, Services
from passgate.server.routes import CALLER_ROUTES, OPERATOR_ROUTES, Route, make_application
from passgate.settings import Settings, parse_address
from passgate.state.configuration import ConfigurationState
from passgate.statecharts import Machine

MACHINE_LIST_POLL_INTERVAL_S = 1.0
JOIN_TIMEOUT_S = 3.0
"""Maximum wait for a first peer before the daemon serves without any."""
POLL_INTERVAL_S = 0.05
LOOP_LAG_INTERVAL_S = 1.0
LOG_CHECK_INTERVAL_S = 1.0
LOG_LOST_FAILURES = 3
"""Not used: the daemon becomes degraded after one failed read in a check interval."""
HARD_HEADER_LIMIT_FACTOR = 4
"""Connections whose headers exceed this many times the limit are closed without a typed error."""
BACKGROUND_RETRY_S = 1.0
LISTEN_BACKLOG = 1024


class Daemon:
    """One daemon; it serves from :meth:`start` until :meth:`stop` or :meth:`close`.  Needs a running loop.

    Its components are reached at ``components``, the state machine of its lifecycle at ``lifecycle``.
    """

    def __init__(
        self,
        settings: Settings,
        logger: logging.Logger,
        random: Random,
        external: ExternalClients | None = None,
    ) -> None:
        self._http = None if external else make_http_client(settings)
        self.settings = settings
        self.components: DaemonComponents = build_components(
            settings, external or connect_external_systems(settings, self._http), random
        )
        self.metrics = DaemonMetrics()
        self.lifecycle = Machine("daemon")
        self._logger = logger
        self._configuration_sync = ConfigurationSync(
            self.components.membership, self.components.configuration, Random(random.random())
        )
        self.context = ServerContext(
            settings, self._make_services(), self.lifecycle, self.metrics, logger, Random(random.random())
        )
        self.context.admission.is_starting = True
        self._servers: list[HTTPServer] = []
        self._background_tasks: list[asyncio.Task[Any]] = []
        self._shutdown_task: asyncio.Task[bool] | None = None
        self._catch_up_task: asyncio.Task[None] | None = None
        self.caller_address = ""
        self.operator_address = ""

    def _make_services(self) -> Services:
        components = self.components
        return Services(
            configuration=components.configuration,
            dispatcher=components.dispatcher,
            claims=components.claims,
            lots=components.lots,
            cluster_status=ClusterStatus(components.membership, self._get_status),
        )

    def _get_status(self) -> DaemonStatus:
        revision = self.components.configuration.state.revision
        return DaemonStatus(life=self.lifecycle.state, revision=revision, labels=self.settings.labels)

    # --- start -----------------------------------------------------------------------

    def start(self) -> None:
        """Open the ports and start all background tasks.

        Requests are refused as not run until the active configuration is known.

        Raises:
            SettingsError: the daemon cannot listen on one of its addresses.
        """
        self.caller_address = self._listen(CALLER_ROUTES, self.settings.caller_address)
        self.operator_address = self._listen(OPERATOR_ROUTES, self.settings.operator_address)
        components = self.components
        components.configuration.subscribe(self._on_configuration_changed)
        components.configuration.start()
        components.leases.start()
        components.membership.start()
        components.membership.join(self.settings.seeds)
        self._configuration_sync.start()
        components.dispatcher.start()
        self._catch_up_task = asyncio.ensure_future(self._catch_up())
        self._start_background(self._poll_machine_list)
        self._start_background(self._watch_log)
        self._start_background(self._measure_loop_lag)
        self._log_change("daemon_started", callers=self.caller_address, operators=self.operator_address)

    def _listen(self, routes: tuple[Route, ...], address: str) -> str:
        """Start an HTTP server; return its address, with the port that the system chose if it was 0."""
        limits = self.settings.limits
        host, port = parse_address(address)
        try:
            sockets = bind_sockets(port, host, backlog=LISTEN_BACKLOG)
        except OSError as error:
            raise SettingsError(
                f"cannot listen on {address}: {error.strerror}", key=address, expected="a free address"
            ) from error
        server = HTTPServer(
            make_application(routes, self.context),
            max_header_size=limits.max_header_bytes * HARD_HEADER_LIMIT_FACTOR,
            # Above the limit that ApiHandler enforces, as tornado answers without a typed error.
            max_body_size=limits.max_body_bytes * 2**20,
            idle_connection_timeout=limits.idle_connection_timeout_s,
        )
        server.add_sockets(sockets)
        self._servers.append(server)
        url_host = f"[{host}]" if ":" in host else host
        return f"{url_host}:{sockets[0].getsockname()[1]}"

    def _start_background(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Start a background task that runs ``work`` until it is cancelled."""
        self._background_tasks.append(asyncio.ensure_future(self._run_forever(work)))

    async def _run_forever(self, work: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run ``work`` again and again; an exception is logged, and the work restarted after a pause."""
        while True:
            try:
                await work()
            except Exception as error:  # noqa: BLE001  A fault of one task must not end the daemon.
                self._log_change(
                    "background_work_failed", logging.ERROR, work=work.__qualname__, failure=repr(error)
                )
                await asyncio.sleep(BACKGROUND_RETRY_S)

    async def _catch_up(self) -> None:
        """Become ready once this daemon has applied the newest configuration known to it or its peers."""
        await self._wait_until_configured(0)
        self.lifecycle.send("caught_up")
        await self._wait_for_first_peer()
        # The log may have been read from a replica that lags behind, so peers are asked for their revision.
        await self._wait_until_configured(await self._configuration_sync.highest_known_revision())
        self.lifecycle.send("joined")
        self.components.rollouts.start()
        self.context.admission.is_starting = False
        self.metrics.ready.set(1)
        self._log_change("daemon_ready", revision=self.components.configuration.state.revision)

    async def _wait_until_configured(self, minimum_offset: int) -> None:
        configuration = self.components.configuration
        while not configuration.ready_at(minimum_offset):
            with contextlib.suppress(DeadlineExceeded):
                await configuration.wait_ready(minimum_offset, POLL_INTERVAL_S)

    async def _wait_for_first_peer(self) -> None:
        """Wait until a peer is known, at most JOIN_TIMEOUT_S, as no other daemon may be running."""
        if not self.settings.seeds:
            return
        deadline_s = clock.monotonic_s() + JOIN_TIMEOUT_S
        while len(self.components.membership.members()) < 2 and clock.monotonic_s() < deadline_s:
            await asyncio.sleep(POLL_INTERVAL_S)

    # --- background work ---------------------------------------------------------------

    def _on_configuration_changed(self, state: ConfigurationState) -> None:
        self.metrics.configuration_revision.set(state.revision)

    async def _poll_machine_list(self) -> None:
        """Apply the platform's machine list to the replica directory, and join daemons that it names.

        While the list cannot be read, the replicas of the last one stay in the directory.
        """
        is_readable = True
        while True:
            try:
                machines = await self.components.external.machine_list.machines()
            except PlatformError:
                if is_readable:
                    self._log_change("machine_list_lost")
                is_readable = False
            else:
                if not is_readable:
                    self._log_change("machine_list_back")
                is_readable = True
                self.components.directory.apply_machines(machines, clock.monotonic_s())
                self._join_unknown_daemons(
                    [item.address for item in machines if item.role is MachineRole.DAEMON]
                )
            await asyncio.sleep(MACHINE_LIST_POLL_INTERVAL_S)

    def _join_unknown_daemons(self, addresses: list[str]) -> None:
        known_addresses = {member.address for member in self.components.membership.members()}
        unknown_addresses = [address for address in addresses if address not in known_addresses]
        if unknown_addresses and self.lifecycle.within("running"):
            self.components.membership.join(unknown_addresses)

    async def _watch_log(self) -> None:
        """Move the lifecycle between ready and degraded as reads of the log fail and succeed."""
        counters = self.components.configuration.follower.counters
        while True:
            previous_failures = counters.read_failures
            await asyncio.sleep(LOG_CHECK_INTERVAL_S)
            failures = counters.read_failures - previous_failures
            if failures and self.lifecycle.can("log_lost"):
                self.lifecycle.send("log_lost")
                self._log_change("log_lost")
            elif not failures and self.lifecycle.can("log_back"):
                self.lifecycle.send("log_back")
                self._log_change("log_back")

    async def _measure_loop_lag(self) -> None:
        """Set the metric that shows how late timers of the event loop run."""
        while True:
            due_s = clock.monotonic_s() + LOOP_LAG_INTERVAL_S
            await asyncio.sleep(LOOP_LAG_INTERVAL_S)
            self.metrics.loop_lag_seconds.set(max(0.0, clock.monotonic_s() - due_s))

    # --- graceful shutdown ---------------------------------------------------------------

    async def stop(self) -> bool:
        """Shut down gracefully; return whether all work in flight was finished or released to other daemons.

        Further calls wait for the same shutdown.
        """
        if self._shutdown_task is None:
            self._shutdown_task = asyncio.ensure_future(self._shut_down())
        return await asyncio.shield(self._shutdown_task)

    async def _shut_down(self) -> bool:
        """Announce the shutdown, refuse new requests, finish work, release ownership, and close.

        During the notice period readiness already fails, but requests are still accepted, so that load
        balancers can move them elsewhere.
        """
        stop = self.settings.stop
        await self._cancel_all([self._catch_up_task] if self._catch_up_task else [])
        self.lifecycle.send("stop")
        self.metrics.ready.set(0)
        self.context.admission.is_closing_connections = True
        self._log_change("stop_announced", notice_s=stop.notice_s)
        await asyncio.sleep(stop.notice_s)
        self.lifecycle.send("announced")
        self.context.admission.is_draining = True
        self._log_change("stop_draining", in_flight=self.context.admission.in_flight)
        is_clean = await self._finish_work(stop.drain_timeout_s)
        self.lifecycle.send("finished")
        await self._release_ownership(stop.leave_timeout_s)
        await self.close()
        self.lifecycle.send("handed_over")
        self._log_change("daemon_stopped", whole=is_clean)
        return is_clean

    async def _finish_work(self, timeout_s: float) -> bool:
        """Drain lots and requests, then calls to replicas, then claims; return whether all was in time.

        Claims come last, as the calls before them still produce the outcomes that are put on the log.
        """
        started_s = clock.monotonic_s()
        lots_drained, requests_drained = await asyncio.gather(
            self._run_shutdown_step(self.components.lots.drain(timeout_s)),
            self.context.admission.wait_idle(timeout_s),
        )
        remaining_s = max(POLL_INTERVAL_S, started_s + timeout_s - clock.monotonic_s())
        calls_drained = await self._run_shutdown_step(self.components.dispatcher.drain(remaining_s))
        claims_drained = await self.components.claims.drain(remaining_s)
        return lots_drained and requests_drained and calls_drained and claims_drained

    async def _release_ownership(self, timeout_s: float) -> None:
        """Stop the rollout managers, release this daemon's leases and leave the membership."""
        await self._run_shutdown_step(self.components.rollouts.drain(timeout_s))
        await self._run_shutdown_step(
            self._await_with_timeout(self.components.leases.release_all(), timeout_s)
        )
        await self._run_shutdown_step(self.components.membership.leave(timeout_s))

    async def _await_with_timeout(self, work: Awaitable[None], timeout_s: float) -> None:
        async with asyncio.timeout(timeout_s):
            await work

    async def _run_shutdown_step(self, work: Awaitable[Any]) -> bool:
        """Await one step; return False if it returned False, timed out or raised a typed error.

        A failed step is only logged: the steps after it still have to run.
        """
        try:
            return await work is not False
        except (TimeoutError, PassgateError) as error:
            self._log_change("stop_step_failed", level=logging.WARNING, failure=type(error).__name__)
            return False

    async def close(self) -> None:
        """Stop at once: cancel background tasks, close the HTTP servers and all components."""
        await self._cancel_all(
            [*self._background_tasks, *([self._catch_up_task] if self._catch_up_task else [])]
        )
        for server in self._servers:
            server.stop()
        for server in self._servers:
            await server.close_all_connections()
        await self._configuration_sync.close()
        await close_components(self.components)
        if self._http is not None:
            self._http.close()

    async def _cancel_all(self, tasks: list[asyncio.Task[Any]]) -> None:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _log_change(self, change: str, level: int = logging.INFO, **fields: object) -> None:
        log_state_change(
            self._logger,
            change,
            level,
            run=self.components.incarnation_id,
            life=self.lifecycle.state,
            **fields,
        )


StopSignalInstaller = Callable[[Callable[[], None]], None]
"""Registers a function to be called when the process is requested to stop."""


async def run_daemon(
    settings: Settings, logger: logging.Logger, install_stop_signal: StopSignalInstaller
) -> bool:
    """Run a daemon until it is requested to stop; return whether the shutdown was clean.

    ``install_stop_signal`` receives the function to call when the process is requested to stop.
    """
    daemon = Daemon(settings, logger, Random(settings.random_seed))
    stop_requested = asyncio.Event()
    install_stop_signal(stop_requested.set)
    daemon.start()
    await stop_requested.wait()
    return await daemon.stop()
