"""Daemons that can not read the log get new configurations from peers; runs in virtual time."""

import asyncio
import random

import msgspec
import pytest

from passgate.clock import monotonic_s, run_virtual
from passgate.decisions import DecisionLog
from passgate.eligibility.evacuation import EvacuatedZones
from passgate.gateway.access import Tenant
from passgate.gateway.peer_configuration import (
    CONFIGURATION_METHOD,
    POLL_AFTER_S,
    ConfigurationSnapshot,
    PeerConfigurationPoller,
)
from passgate.gateway.routes import ConfigHolder, GatewayConfig
from passgate.peers.memory_transport import MemoryNetwork

APPLY_DEADLINE_S = 3.0
"""Time within which every daemon must have applied a configuration."""


def make_config(version, *keys):
    return GatewayConfig(version=version, tenants=(Tenant(name="orchard", api_keys=keys),))


class SimulatedDaemon:
    """A configuration holder and its poller; the log is readable until ``cut_off_s``, a loop time."""

    def __init__(self, network, number, daemons):
        self.daemons = daemons
        self.transport = network.transport(f"d{number}:7720", "z")
        self.name = f"d{number}@{self.transport.address}"
        self.config_holder = ConfigHolder()
        self.cut_off_s = None
        decisions = DecisionLog("d", write=len)
        self.evacuated_zones = EvacuatedZones(decisions)
        self.peers = PeerConfigurationPoller(
            self.transport,
            self.list_other_members,
            self.config_holder,
            self.evacuated_zones,
            self.log_age_s,
            self.config_holder.apply_if_newer,
            decisions,
        )

    def list_other_members(self):
        names = [daemon.name for daemon in self.daemons if daemon is not self]
        return random.sample(names, len(names))

    def log_age_s(self):
        return 0.0 if self.cut_off_s is None else monotonic_s() - self.cut_off_s

    async def answer_query(self, sender, method, payload):
        assert method == CONFIGURATION_METHOD
        return self.peers.handle_request(payload)

    def start(self):
        self.transport.start(lambda sender, payload: None, self.answer_query)
        return asyncio.get_running_loop().create_task(self.peers.run())


def make_daemons(count=12):
    network, daemons = MemoryNetwork(random.Random(1)), []
    daemons.extend(SimulatedDaemon(network, number, daemons) for number in range(count))
    return network, daemons


def publish(daemons, new):
    for daemon in daemons:
        if daemon.cut_off_s is None:
            daemon.config_holder.apply_if_newer(new)


@pytest.mark.parametrize("seed", range(5))
def test_daemons_without_the_log_apply_each_version_in_time(seed):
    async def main():
        random.seed(seed)
        _, daemons = make_daemons()
        tasks = [daemon.start() for daemon in daemons]
        publish(daemons, make_config(1, "k1", "k2"))
        for daemon in daemons[::3]:
            daemon.cut_off_s = monotonic_s()
        for version in range(2, 6):
            publish(daemons, make_config(version, "k2"))
            await asyncio.sleep(APPLY_DEADLINE_S)
            assert {daemon.config_holder.version for daemon in daemons} == {version}
            assert all(daemon.peers.configuration_age_s() < APPLY_DEADLINE_S for daemon in daemons)
        for task in tasks:
            task.cancel()

    run_virtual(main())


def test_an_older_version_of_a_peer_is_not_applied():
    async def main():
        _, daemons = make_daemons(3)
        behind, ahead, _ = daemons
        publish(daemons, make_config(4, "k2"))
        ahead.cut_off_s = monotonic_s()
        ahead.config_holder.apply_if_newer(make_config(7, "k2"))
        task = ahead.start()
        for daemon in (behind, daemons[2]):
            daemon.start()
        await asyncio.sleep(5.0)
        assert ahead.config_holder.version == 7
        task.cancel()

    run_virtual(main())


def test_peers_are_polled_only_without_the_log_and_the_age_grows_if_none_answers():
    async def main():
        network, daemons = make_daemons(3)
        publish(daemons, make_config(1))
        tasks = [daemon.start() for daemon in daemons]
        await asyncio.sleep(10.0)
        assert all(daemon.transport.counters.frames_sent == 0 for daemon in daemons)
        daemons[0].cut_off_s = monotonic_s()
        network.cut(lambda address, zone: address == daemons[0].transport.address)
        await asyncio.sleep(POLL_AFTER_S + 4.0)
        assert daemons[0].peers.configuration_age_s() == pytest.approx(POLL_AFTER_S + 4.0, abs=0.2)
        for task in tasks:
            task.cancel()

    run_virtual(main())


def test_an_answer_contains_a_configuration_only_if_it_is_newer_than_the_query():
    async def main():
        _, (daemon, *_) = make_daemons(2)
        daemon.config_holder.apply_if_newer(make_config(3, "k"))
        for version, expected in ((2, 3), (3, None), (9, None)):
            query = msgspec.json.encode({"version": version})
            answer = msgspec.json.decode(daemon.peers.handle_request(query), type=ConfigurationSnapshot)
            assert (answer.config.version if answer.config else None) == expected

    run_virtual(main())


def test_daemons_without_the_log_do_not_confirm_each_others_views():
    """Guards against ages that count from an answer or restart at a hop: old views would stay young."""

    async def main():
        _, daemons = make_daemons(4)
        publish(daemons, make_config(1))
        for daemon in daemons:
            daemon.evacuated_zones.apply_snapshot(set(), next_offset=1)
        tasks = [daemon.start() for daemon in daemons]
        cut_off_s = monotonic_s()
        for delay_s, daemon in enumerate(daemons):
            daemon.cut_off_s = cut_off_s + 0.5 * delay_s
        last_cut_off_s = daemons[-1].cut_off_s
        for _ in range(40):
            await asyncio.sleep(0.5)
            for daemon in daemons:
                true_age_s = monotonic_s() - last_cut_off_s
                assert daemon.peers.configuration_age_s() >= true_age_s
                assert daemon.peers.evacuations_age_s() >= true_age_s
        for task in tasks:
            task.cancel()

    run_virtual(main())
