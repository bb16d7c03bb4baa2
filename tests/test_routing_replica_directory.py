import msgspec

from passgate.routing.replica_directory import GONE_AFTER_ABSENCE_S, GONE_RETENTION_S, ReplicaDirectory
from passgate.schema import LoadReport, MachineInfo, MachineRole, MachineState


class PoolSpec(msgspec.Struct):
    selector: str = "kind=llm"
    role: MachineRole = MachineRole.ENGINE


POOL = PoolSpec()


def make_machine(name="e0", state=MachineState.LIVE, generation=0, labels=None):
    return MachineInfo(
        machine_id=name,
        role=MachineRole.ENGINE,
        address=f"{name}:{generation}",
        zone="a",
        labels={"kind": "llm"} if labels is None else labels,
        state=state,
        generation=generation,
    )


def make_report(sequence, leaving=False, name="e0"):
    return LoadReport(
        replica_id=name,
        sequence=sequence,
        running=0,
        waiting=0,
        outstanding_tokens=0,
        kv_used_tokens=0,
        kv_capacity_tokens=1,
        tokens_per_s=0.0,
        leaving=leaving,
    )


def available_ids(directory):
    return [replica.replica_id for replica in directory.available(POOL)]


def test_old_list_never_revokes_leaving_but_a_new_generation_does():
    directory = ReplicaDirectory()
    directory.apply_machines([make_machine(), make_machine("e1")], 0.0)
    directory.apply_machines([make_machine(state=MachineState.LEAVING), make_machine("e1")], 1.0)
    directory.apply_machines([make_machine(), make_machine("e1")], 2.0)
    assert available_ids(directory) == ["e1"]
    directory.apply_machines([make_machine(generation=1), make_machine("e1")], 3.0)
    assert available_ids(directory) == ["e0", "e1"]
    directory.apply_machines([make_machine(state=MachineState.GONE), make_machine("e1")], 4.0)
    assert available_ids(directory) == ["e0", "e1"]


def test_lists_and_reports_do_not_revoke_a_mark():
    directory = ReplicaDirectory()
    directory.apply_machines([make_machine()], 0.0)
    directory.mark_leaving("e0", "operator")
    directory.apply_machines([make_machine()], 1.0)
    directory.record_report(make_report(9), 2.0)
    assert available_ids(directory) == []
    assert directory.replicas(POOL)[0].state is MachineState.LEAVING


def test_reported_leaving_follows_the_newest_report():
    directory = ReplicaDirectory()
    directory.apply_machines([make_machine()], 0.0)
    directory.record_report(make_report(5, leaving=True), 1.0)
    directory.record_report(make_report(4), 2.0)
    directory.apply_machines([make_machine()], 2.0)
    assert available_ids(directory) == []
    directory.record_report(make_report(6), 3.0)
    assert available_ids(directory) == ["e0"]


def test_reports_of_a_restarted_process_are_accepted_from_the_second_on():
    directory = ReplicaDirectory()
    directory.apply_machines([make_machine()], 0.0)
    directory.record_report(make_report(500, leaving=True), 1.0)
    directory.record_report(make_report(1), 2.0)
    directory.record_report(make_report(2), 3.0)
    assert available_ids(directory) == ["e0"]


def test_report_soon_after_a_refusal_does_not_revoke_it():
    directory = ReplicaDirectory()
    directory.apply_machines([make_machine()], 0.0)
    directory.record_refusal("e0", 10.0)
    directory.record_report(make_report(1), 10.5)
    assert available_ids(directory) == []
    directory.record_report(make_report(2), 16.0)
    assert available_ids(directory) == ["e0"]


def test_implausibly_short_lists_remove_no_replicas():
    directory = ReplicaDirectory()
    machines = [make_machine(f"e{index}") for index in range(4)]
    directory.apply_machines(machines, 0.0)
    directory.apply_machines([], GONE_AFTER_ABSENCE_S * 2)
    directory.apply_machines(machines[:1], GONE_AFTER_ABSENCE_S * 3)
    assert len(available_ids(directory)) == 4


def test_long_absent_machine_is_gone_and_returns_when_listed_again():
    directory = ReplicaDirectory()
    machines = [make_machine(f"e{index}") for index in range(4)]
    directory.apply_machines(machines, 0.0)
    directory.apply_machines(machines[1:], GONE_AFTER_ABSENCE_S - 1)
    assert len(available_ids(directory)) == 4
    directory.apply_machines(machines[1:], GONE_AFTER_ABSENCE_S)
    assert available_ids(directory) == ["e1", "e2", "e3"]
    directory.apply_machines(machines, GONE_AFTER_ABSENCE_S + 1)
    assert len(available_ids(directory)) == 4


def test_leaving_outlasts_absence_until_the_entry_is_discarded():
    directory = ReplicaDirectory()
    machines = [make_machine(f"e{index}") for index in range(4)]
    directory.apply_machines([make_machine(state=MachineState.LEAVING), *machines[1:]], 0.0)
    directory.apply_machines(machines[1:], GONE_AFTER_ABSENCE_S)
    directory.apply_machines(machines, GONE_AFTER_ABSENCE_S + 1)
    assert "e0" not in available_ids(directory)
    directory.apply_machines(machines[1:], 2 * GONE_AFTER_ABSENCE_S + 1)
    directory.apply_machines(machines[1:], 2 * GONE_AFTER_ABSENCE_S + 1 + GONE_RETENTION_S)
    assert directory.get("e0") is None


def test_selector_follows_changed_labels():
    directory = ReplicaDirectory()
    directory.apply_machines([make_machine()], 0.0)
    assert available_ids(directory) == ["e0"]
    directory.apply_machines([make_machine(labels={"kind": "other"})], 1.0)
    assert available_ids(directory) == []
