"""The stand-ins' administration port: injects faults, reads counters, says where all listens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from passgate.emulator.admin_messages import FaultCommand, FaultKind, LogTotals, SeenRuns, StandInState
from passgate.emulator.app_server import AppServer
from passgate.emulator.engine_events import SwapFailure
from passgate.emulator.engine_server import EngineServer
from passgate.emulator.wire import ServerCounters, StandInHandler, StandInServer
from passgate.errors import MalformedBody, NotFound

if TYPE_CHECKING:
    from passgate.emulator.standins_server import StandIns


class AdminServer(StandInServer):
    """Administration of one deployment's stand-ins."""

    def __init__(self, standins: StandIns, credential: str | None = None) -> None:
        super().__init__("admin", credential)
        self.standins = standins

    def routes(self) -> list[tuple]:
        """Return the administration's routes."""
        arguments = {"server": self}
        return [
            (r"/admin/addresses", _AddressesHandler, arguments),
            (r"/admin/state", _StateHandler, arguments),
            (r"/admin/runs", _RunsHandler, arguments),
            (r"/admin/faults", _FaultsHandler, arguments),
        ]


class _AdminHandler(StandInHandler):
    server: AdminServer


class _AddressesHandler(_AdminHandler):
    async def get(self) -> None:
        self.reply(self.server.standins.addresses())


class _StateHandler(_AdminHandler):
    async def get(self) -> None:
        self.reply(read_state(self.server.standins, self.get_query_argument("prefix", "")))


class _RunsHandler(_AdminHandler):
    async def get(self) -> None:
        after = int(self.get_query_argument("after", "0"))
        self.reply(SeenRuns(runs=tuple(self.server.standins.runs.seen[after:])))


class _FaultsHandler(_AdminHandler):
    async def post(self) -> None:
        command = self.body_as(FaultCommand)
        inject(self.server.standins, command)
        self.reply(command)


def read_state(standins: StandIns, prefix: str) -> StandInState:
    """Return the counters of all stand-ins."""
    world = standins.world
    ids = {record.request_id for record in world.ledger.records if record.request_id.startswith(prefix)}
    log = world.log.counters
    return StandInState(
        runs={request_id: world.ledger.runs(request_id) for request_id in sorted(ids)},
        repeated_effects=tuple(world.ledger.repeated_single_effects()),
        servers={name: _counters(server, prefix) for name, server in standins.servers.items()},
        log=LogTotals(
            appends=log.appends,
            records=log.records,
            bytes=log.bytes,
            reads=log.reads,
            read_bytes=log.read_bytes,
        ),
        store_bytes=world.store.sent_bytes,
    )


def _counters(server: StandInServer, prefix: str) -> ServerCounters:
    counters = server.counters
    received = {name: count for name, count in counters.received.items() if name.startswith(prefix)}
    return ServerCounters(
        requests=counters.requests, received=received, tokens=counters.tokens, gone=counters.gone
    )


def inject(standins: StandIns, command: FaultCommand) -> None:
    """Carry out a fault command; raises NotFound for an unknown target."""
    if command.kind in _WORLD_FAULTS:
        _WORLD_FAULTS[command.kind](standins, command)
        return
    server = standins.servers.get(command.target)
    if server is None:
        raise NotFound("no such server", target=command.target)
    if command.kind in _CONNECTION_FAULTS:
        _set_connection_fault(server, command)
    else:
        _set_backend_fault(standins, server, command)


def _set_connection_fault(server: StandInServer, command: FaultCommand) -> None:
    name = _CONNECTION_FAULTS[command.kind]
    kind = type(getattr(server.faults, name))
    setattr(server.faults, name, kind(command.value))


def _set_backend_fault(standins: StandIns, server: StandInServer, command: FaultCommand) -> None:
    if not isinstance(server, EngineServer | AppServer):
        raise NotFound("the target is neither engine nor app", target=command.target)
    match command.kind:
        case FaultKind.CRASH:
            standins.crash(command.target, command.value)
        case FaultKind.SLOW:
            standins.backend(command.target).set_slow_factor(command.value)
        case FaultKind.DRAIN:
            standins.set_draining(command.target, bool(command.value))
        case FaultKind.SWAP_FAILURE:
            _arm_swap_failure(standins, command)


def _arm_swap_failure(standins: StandIns, command: FaultCommand) -> None:
    engine = standins.world.engines.get(command.target)
    if engine is None:
        raise NotFound("no such engine", target=command.target)
    try:
        failure = SwapFailure(command.argument)
    except ValueError as error:
        raise MalformedBody("no such swap failure", argument=command.argument) from error
    engine.model.arm_swap_failure(failure, int(command.value))


def _isolate(standins: StandIns, command: FaultCommand) -> None:
    network = standins.world.network
    if command.value:
        network.isolate(command.target)
    else:
        network.rejoin(command.target)


def _set_log_down(standins: StandIns, command: FaultCommand) -> None:
    standins.world.log.faults.down = bool(command.value)


def _set_log_slow(standins: StandIns, command: FaultCommand) -> None:
    standins.world.log.faults.extra_s = command.value


def _set_log_lag(standins: StandIns, command: FaultCommand) -> None:
    standins.world.log.faults.reader_lag_s[command.target] = command.value


def _lose_log_answers(standins: StandIns, command: FaultCommand) -> None:
    standins.world.log.faults.lose_next_answers = int(command.value)


def _set_store_down(standins: StandIns, command: FaultCommand) -> None:
    standins.world.store.available = not command.value


def _set_machine_list_down(standins: StandIns, command: FaultCommand) -> None:
    standins.world.machine_list.available = not command.value


def _mark_leaving(standins: StandIns, command: FaultCommand) -> None:
    standins.world.machine_list.mark_leaving(command.target)


def _mark_gone(standins: StandIns, command: FaultCommand) -> None:
    standins.world.machine_list.mark_gone(command.target)


def _mark_live(standins: StandIns, command: FaultCommand) -> None:
    standins.world.machine_list.mark_live(command.target)


_WORLD_FAULTS = {
    FaultKind.ISOLATE: _isolate,
    FaultKind.LOG_DOWN: _set_log_down,
    FaultKind.LOG_SLOW: _set_log_slow,
    FaultKind.LOG_LAG: _set_log_lag,
    FaultKind.LOG_LOSE_ANSWERS: _lose_log_answers,
    FaultKind.STORE_DOWN: _set_store_down,
    FaultKind.MACHINE_LIST_DOWN: _set_machine_list_down,
    FaultKind.LEAVE: _mark_leaving,
    FaultKind.GONE: _mark_gone,
    FaultKind.RETURN: _mark_live,
}
_CONNECTION_FAULTS = {
    FaultKind.DELAY: "delay_s",
    FaultKind.UNAVAILABLE: "unavailable",
    FaultKind.LOSE_ANSWERS: "lose_answers",
    FaultKind.DROP_REQUESTS: "drop_requests",
    FaultKind.CUT_STREAMS: "cut_streams",
    FaultKind.CROSS_ANSWERS: "cross_answers",
}
