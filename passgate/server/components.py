"""The components of one daemon, built from its settings and connected to each other."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

import msgspec

from passgate.clients.curl import HttpClient
from passgate.clients.http_app import HttpAppClient
from passgate.clients.http_call import HttpLimits
from passgate.clients.http_engine import HttpEngineClient
from passgate.clients.http_log import HttpLogClient
from passgate.clients.http_platform import HttpMachineList, HttpWeightStore
from passgate.errors import SettingsError
from passgate.interfaces import AppClient, EngineClient, LogClient, MachineList, WeightStore
from passgate.membership.agent import MembershipAgent
from passgate.membership.messages import MemberInfo, MemberState
from passgate.peers.peer_transport import TcpPeerTransport
from passgate.peers.transport import PeerTransport
from passgate.routing.dispatcher import Dispatcher
from passgate.routing.policies import POLICIES
from passgate.routing.replica_directory import ReplicaDirectory
from passgate.server.rollouts import RolloutService
from passgate.settings import Settings, parse_address
from passgate.state.claims import ClaimService
from passgate.state.configuration import ConfigurationService
from passgate.state.leases import LeaseService
from passgate.state.lots import LotService

INCARNATION_ID_BYTES = 4


class ExternalClients(msgspec.Struct, kw_only=True):
    """Clients of the external systems; tests and the simulation pass their own."""

    log: LogClient
    machine_list: MachineList
    weight_store: WeightStore | None
    engine: EngineClient
    app: AppClient
    transport: PeerTransport


class DaemonComponents(msgspec.Struct, kw_only=True):
    """The components that one daemon runs."""

    incarnation_id: str
    """Identifies this run of the daemon's process: daemon id, ``/`` and a random part."""
    external: ExternalClients
    membership: MembershipAgent
    configuration: ConfigurationService
    leases: LeaseService
    claims: ClaimService
    lots: LotService
    directory: ReplicaDirectory
    dispatcher: Dispatcher
    rollouts: RolloutService


def connect_external_systems(settings: Settings, http: HttpClient) -> ExternalClients:
    """Return clients that use sockets; binds the peer port, and raises SettingsError when it cannot."""
    credential = settings.credentials.platform.reveal() or None
    store_address = settings.weight_store_address
    return ExternalClients(
        log=HttpLogClient(http, settings.log_address, credential),
        machine_list=HttpMachineList(http, settings.machine_list_address, credential),
        weight_store=HttpWeightStore(http, store_address, credential) if store_address else None,
        engine=HttpEngineClient(http),
        app=HttpAppClient(http),
        transport=_make_peer_transport(settings),
    )


def _make_peer_transport(settings: Settings) -> TcpPeerTransport:
    host, port = parse_address(settings.peer_address)
    try:
        return TcpPeerTransport(host, port, credential=settings.credentials.peers.reveal())
    except OSError as error:
        problem = f"cannot listen on {settings.peer_address}: {error.strerror}"
        raise SettingsError(problem, key="peer_address", expected="a free address") from error


def make_http_client(settings: Settings) -> HttpClient:
    """Return the HTTP client of a daemon, which allows one transfer for each request in flight."""
    return HttpClient(HttpLimits(max_transfers=settings.limits.max_in_flight))


def build_components(settings: Settings, external: ExternalClients, random: Random) -> DaemonComponents:
    """Build and connect all components without starting them; needs a running loop.

    Raises:
        SettingsError: the settings name an unknown routing policy.
    """
    if settings.policy not in POLICIES:
        names = ", ".join(sorted(POLICIES))
        raise SettingsError(f"unknown routing policy {settings.policy!r}", key="policy", expected=names)
    incarnation_id = f"{settings.daemon_id}/{random.randbytes(INCARNATION_ID_BYTES).hex()}"
    self_info = MemberInfo(member_id=incarnation_id, address=external.transport.address, zone=settings.zone)
    membership = MembershipAgent(self_info, external.transport, Random(random.random()))
    configuration = ConfigurationService(external.log, f"{incarnation_id}/config", Random(random.random()))
    directory = ReplicaDirectory()
    dispatcher = Dispatcher(
        external.engine,
        external.app,
        directory,
        configuration.state,
        settings.zone,
        POLICIES[settings.policy],
        Random(random.random()),
        daemon_id=settings.daemon_id,
    )
    leases = LeaseService(
        external.log, incarnation_id, lambda: list_live_members(membership), Random(random.random())
    )
    return DaemonComponents(
        incarnation_id=incarnation_id,
        external=external,
        membership=membership,
        configuration=configuration,
        leases=leases,
        claims=ClaimService(external.log, incarnation_id, membership.is_alive, Random(random.random())),
        lots=LotService(
            external.log,
            dispatcher.generate,
            configuration.state.newest_version,
            incarnation_id,
            membership.is_alive,
            Random(random.random()),
        ),
        directory=directory,
        dispatcher=dispatcher,
        rollouts=RolloutService(external.engine, leases, configuration, directory, Random(random.random())),
    )


def list_live_members(membership: MembershipAgent) -> Sequence[str]:
    """Return the incarnation ids of the members that are alive or suspected."""
    live_states = (MemberState.ALIVE, MemberState.SUSPECT)
    return [member.member_id for member in membership.members() if member.state in live_states]


async def close_components(components: DaemonComponents) -> None:
    """Close all components, those that use others first."""
    await components.rollouts.close()
    await components.lots.close()
    await components.claims.close()
    await components.dispatcher.close()
    await components.leases.close()
    await components.configuration.close()
    await components.membership.close()
