import msgspec

from passgate.routing.replica_directory import FORGET_S, MISSING_GONE_S, ReplicaDirectory
from passgate.schema import LoadReport, MachineInfo, MachineRole, MachineState


class PoolSpec(msgspec.Struct):
    selector: str = "kind=llm"
    role: MachineRole = MachineRole.ENGINE


POOL = PoolSpec()


def machine(name="e0", state=MachineState.LIVE, generation=0, labels=None):
    return MachineInfo(
        machine_id=name,
        role=MachineRole.ENGINE,
        address=f"{name}:{generation}",
        zone="a",
        labels={"kind": "llm"} if labels is None else labels,
        state=state,
        generation=generation,
    )


def report(sequence, leaving=False, name="e0"):
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


def names(directory):
    return [replica.replica_id for replica in directory.available(POOL)]


def test_old_list_never_takes_leaving_back_but_a_new_generation_does():
    directory = ReplicaDirectory()
    directory.apply_machines([machine(), machine("e1")], 0.0)
    directory.apply_machines([machine(state=MachineState.LEAVING), machine("e1")], 1.0)
    directory.apply_machines([machine(), machine("e1")], 2.0)
    assert names(directory) == ["e1"]
    directory.apply_machines([machine(generation=1), machine("e1")], 3.0)
    assert names(directory) == ["e0", "e1"]
    directory.apply_machines([machine(state=MachineState.GONE), machine("e1")], 4.0)
    assert names(directory) == ["e0", "e1"]


def test_mark_holds_against_lists_and_reports():
    directory = ReplicaDirectory()
    directory.apply_machines([machine()], 0.0)
    directory.mark_leaving("e0", "operator")
    directory.apply_machines([machine()], 1.0)
    directory.observe_report(report(9), 2.0)
    assert names(directory) == []
    assert directory.replicas(POOL)[0].state is MachineState.LEAVING


def test_own_word_follows_the_newest_report_only():
    directory = ReplicaDirectory()
    directory.apply_machines([machine()], 0.0)
    directory.observe_report(report(5, leaving=True), 1.0)
    directory.observe_report(report(4), 2.0)
    directory.apply_machines([machine()], 2.0)
    assert names(directory) == []
    directory.observe_report(report(6), 3.0)
    assert names(directory) == ["e0"]


def test_restarted_engine_process_is_believed_again():
    directory = ReplicaDirectory()
    directory.apply_machines([machine()], 0.0)
    directory.observe_report(report(500, leaving=True), 1.0)
    directory.observe_report(report(1), 2.0)
    directory.observe_report(report(2), 3.0)
    assert names(directory) == ["e0"]


def test_report_older_than_a_refusal_does_not_take_it_back():
    directory = ReplicaDirectory()
    directory.apply_machines([machine()], 0.0)
    directory.observe_refusal("e0", 10.0)
    directory.observe_report(report(1), 10.5)
    assert names(directory) == []
    directory.observe_report(report(2), 16.0)
    assert names(directory) == ["e0"]


def test_empty_and_shrunken_lists_do_not_empty_the_pool():
    directory = ReplicaDirectory()
    full = [machine(f"e{index}") for index in range(4)]
    directory.apply_machines(full, 0.0)
    directory.apply_machines([], MISSING_GONE_S * 2)
    directory.apply_machines(full[:1], MISSING_GONE_S * 3)
    assert len(names(directory)) == 4


def test_long_absent_machine_is_gone_and_comes_back_when_listed():
    directory = ReplicaDirectory()
    full = [machine(f"e{index}") for index in range(4)]
    directory.apply_machines(full, 0.0)
    directory.apply_machines(full[1:], MISSING_GONE_S - 1)
    assert len(names(directory)) == 4
    directory.apply_machines(full[1:], MISSING_GONE_S)
    assert names(directory) == ["e1", "e2", "e3"]
    directory.apply_machines(full, MISSING_GONE_S + 1)
    assert len(names(directory)) == 4


def test_leaving_survives_absence_and_is_forgotten_in_the_end():
    directory = ReplicaDirectory()
    full = [machine(f"e{index}") for index in range(4)]
    directory.apply_machines([machine(state=MachineState.LEAVING), *full[1:]], 0.0)
    directory.apply_machines(full[1:], MISSING_GONE_S)
    directory.apply_machines(full, MISSING_GONE_S + 1)
    assert "e0" not in names(directory)
    directory.apply_machines(full[1:], 2 * MISSING_GONE_S + 1)
    directory.apply_machines(full[1:], 2 * MISSING_GONE_S + 1 + FORGET_S)
    assert directory.get("e0") is None


def test_selector_follows_changed_labels():
    directory = ReplicaDirectory()
    directory.apply_machines([machine()], 0.0)
    assert names(directory) == ["e0"]
    directory.apply_machines([machine(labels={"kind": "other"})], 1.0)
    assert names(directory) == []
