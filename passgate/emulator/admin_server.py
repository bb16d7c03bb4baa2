"""HTTP server by which tests and checks inject faults into an emulated deployment and read its counters."""

from __future__ import annotations

from typing import TYPE_CHECKING

from passgate.emulator.admin_messages import EmulatorState, FaultCommand, FaultKind, LogTotals, RunStarts
from passgate.emulator.app_server import AppServer
from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.engine_server import EngineServer
from passgate.emulator.server_base import EmulatorRequestHandler, EmulatorServer, ServerCounters
from passgate.errors import MalformedBody, NotFound

if TYPE_CHECKING:
    from passgate.emulator.standins_server import EmulatorServers


class AdminServer(EmulatorServer):
    """Administration server of one deployment's emulator servers."""

    def __init__(self, emulator: EmulatorServers, credential: str | None = None) -> None:
        super().__init__("admin", credential)
        self.emulator = emulator

    def routes(self) -> list[tuple]:
        """Return the routes below ``/admin``."""
        arguments = {"server": self}
        return [
            (r"/admin/addresses", _AddressesHandler, arguments),
            (r"/admin/state", _StateHandler, arguments),
            (r"/admin/runs", _RunsHandler, arguments),
            (r"/admin/faults", _FaultsHandler, arguments),
        ]


class _AdminHandler(EmulatorRequestHandler):
    server: AdminServer


class _AddressesHandler(_AdminHandler):
    async def get(self) -> None:
        self.send_json(self.server.emulator.addresses())


class _StateHandler(_AdminHandler):
    async def get(self) -> None:
        self.send_json(read_state(self.server.emulator, self.get_query_argument("prefix", "")))


class _RunsHandler(_AdminHandler):
    async def get(self) -> None:
        after = int(self.get_query_argument("after", "0"))
        self.send_json(RunStarts(runs=tuple(self.server.emulator.run_feed.run_starts[after:])))


class _FaultsHandler(_AdminHandler):
    async def post(self) -> None:
        command = self.decode_body(FaultCommand)
        inject(self.server.emulator, command)
        self.send_json(command)


def read_state(emulator: EmulatorServers, prefix: str) -> EmulatorState:
    """Return all counters, by request only for identifiers that begin with ``prefix``."""
    world = emulator.world
    ids = {record.request_id for record in world.run_recorder.records if record.request_id.startswith(prefix)}
    log = world.log.counters
    return EmulatorState(
        runs={request_id: world.run_recorder.run_count(request_id) for request_id in sorted(ids)},
        repeated_effects=tuple(world.run_recorder.repeated_unrepeatable_effects()),
        servers={name: _counters_of(server, prefix) for name, server in emulator.servers.items()},
        log=LogTotals(
            appends=log.appends,
            records=log.records,
            bytes=log.bytes,
            reads=log.reads,
            read_bytes=log.read_bytes,
        ),
        store_bytes=world.store.sent_bytes,
    )


def _counters_of(server: EmulatorServer, prefix: str) -> ServerCounters:
    counters = server.counters
    received = {name: count for name, count in counters.received.items() if name.startswith(prefix)}
    return ServerCounters(
        requests=counters.requests, received=received, tokens=counters.tokens, gone=counters.gone
    )


def inject(emulator: EmulatorServers, command: FaultCommand) -> None:
    """Apply a fault.

    A machine identifier that the machine list does not know is ignored, as is an unknown zone.

    Raises:
        NotFound: no server has the target's name, or it does not support this kind of fault.
        MalformedBody: ``argument`` is not a ``SwapFailure``.
    """
    if command.kind in _WORLD_FAULT_HANDLERS:
        _WORLD_FAULT_HANDLERS[command.kind](emulator, command)
        return
    server = emulator.servers.get(command.target)
    if server is None:
        raise NotFound("no server has the target's name", target=command.target)
    if command.kind in _CONNECTION_FAULT_FIELDS:
        _set_connection_fault(server, command)
    else:
        _set_backend_fault(emulator, server, command)


def _set_connection_fault(server: EmulatorServer, command: FaultCommand) -> None:
    name = _CONNECTION_FAULT_FIELDS[command.kind]
    # a command's value is a float; the field may be a bool or an int
    field_type = type(getattr(server.faults, name))
    setattr(server.faults, name, field_type(command.value))


def _set_backend_fault(emulator: EmulatorServers, server: EmulatorServer, command: FaultCommand) -> None:
    if not isinstance(server, EngineServer | AppServer):
        raise NotFound("the target is neither an engine nor an app", target=command.target)
    match command.kind:
        case FaultKind.CRASH:
            emulator.crash(command.target, command.value)
        case FaultKind.SLOW:
            emulator.backend(command.target).set_slow_factor(command.value)
        case FaultKind.DRAIN:
            emulator.set_draining(command.target, bool(command.value))
        case FaultKind.SWAP_FAILURE:
            _arm_swap_failure(emulator, command)


def _arm_swap_failure(emulator: EmulatorServers, command: FaultCommand) -> None:
    engine = emulator.world.engines.get(command.target)
    if engine is None:
        raise NotFound("no engine has the target's name", target=command.target)
    try:
        failure = SwapFailure(command.argument)
    except ValueError as error:
        raise MalformedBody("the argument is not a swap failure", argument=command.argument) from error
    engine.model.arm_swap_failure(failure, int(command.value))


def _isolate(emulator: EmulatorServers, command: FaultCommand) -> None:
    network = emulator.world.network
    if command.value:
        network.isolate(command.target)
    else:
        network.rejoin(command.target)


def _set_log_down(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.log.faults.down = bool(command.value)


def _set_log_slow(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.log.faults.extra_s = command.value


def _set_log_lag(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.log.faults.reader_lag_s[command.target] = command.value


def _lose_log_answers(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.log.faults.lose_next_answers = int(command.value)


def _set_store_down(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.store.available = not command.value


def _set_machine_list_down(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.machine_list.available = not command.value


def _mark_leaving(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.machine_list.mark_leaving(command.target)


def _mark_gone(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.machine_list.mark_gone(command.target)


def _return_machine(emulator: EmulatorServers, command: FaultCommand) -> None:
    emulator.world.machine_list.mark_live(command.target)


_WORLD_FAULT_HANDLERS = {
    FaultKind.ISOLATE: _isolate,
    FaultKind.LOG_DOWN: _set_log_down,
    FaultKind.LOG_SLOW: _set_log_slow,
    FaultKind.LOG_LAG: _set_log_lag,
    FaultKind.LOG_LOSE_ANSWERS: _lose_log_answers,
    FaultKind.STORE_DOWN: _set_store_down,
    FaultKind.MACHINE_LIST_DOWN: _set_machine_list_down,
    FaultKind.LEAVE: _mark_leaving,
    FaultKind.GONE: _mark_gone,
    FaultKind.RETURN: _return_machine,
}
_CONNECTION_FAULT_FIELDS = {
    FaultKind.DELAY: "delay_s",
    FaultKind.UNAVAILABLE: "unavailable",
    FaultKind.LOSE_ANSWERS: "lose_answers",
    FaultKind.DROP_REQUESTS: "drop_requests",
    FaultKind.CUT_STREAMS: "cut_streams",
    FaultKind.CROSS_ANSWERS: "cross_answers",
}
