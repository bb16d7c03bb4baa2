import json

from passgate.schema import MachineInfo, MachineRole
from passgate.settings import Credential, CredentialSettings, LimitSettings

SPEC = {"selector": "kind=engine", "role": "engine", "model": "m"}
POOL = "/v1/config/Pool/modelos"
SECRET = "operators-secret"
APP_2 = MachineInfo(machine_id="a2", role=MachineRole.APP, address="127.0.0.1:3", zone="z")


def test_objects_are_put_listed_by_selector_and_deleted(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        address = daemon.operator_address
        listed = await cluster.call(address, "GET", "/v1/config/Pool?selector=tier%20in%20(gold)")
        assert [item["name"] for item in listed.json["objects"]] == ["modelos"]
        assert len((await cluster.call(address, "GET", "/v1/config")).json["objects"]) == 3
        assert (await cluster.call(address, "DELETE", "/v1/config/Pool/linha")).status == 200
        assert (await cluster.call(address, "GET", "/v1/config/Pool/linha")).status == 404
        assert (await cluster.call(address, "GET", "/v1/config/Tool")).error["code"] == "not_found"

    run_cluster(scenario)


def test_conflict_names_the_revision_it_lost_to(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2")
        won = await cluster.call(first.operator_address, "PUT", POOL, {"spec": SPEC, "expected_revision": 0})
        lost = await cluster.call(
            second.operator_address, "PUT", POOL, {"spec": SPEC, "expected_revision": 0}
        )
        assert (lost.status, lost.error["code"]) == (409, "revision_conflict")
        assert lost.error["details"]["revision"] == str(won.json["revision"])

    run_cluster(scenario)


def test_apply_stops_at_the_first_error_and_says_which_are_in_force(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        objects = [
            {"kind": "Pool", "name": "a", "spec": SPEC},
            {"kind": "Pool", "name": "b", "spec": {"selector": "x in (", "role": "engine"}},
            {"kind": "Pool", "name": "c", "spec": SPEC},
        ]
        answer = await cluster.call(daemon.operator_address, "POST", "/v1/config", {"objects": objects})
        assert answer.status == 400
        assert [item["name"] for item in answer.json["results"]] == ["a", "b"]
        assert answer.json["results"][1]["error"]["details"]["field"] == "spec.selector"
        assert daemon.parts.configuration.state.get("Pool", "a") is not None

    run_cluster(scenario)


def test_a_change_without_the_log_is_refused_and_old_values_stay(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(durability_timeout_s=0.3))
        await cluster.configure(daemon)
        cluster.log_clients["d1"].down = True
        changed = {"spec": {**SPEC, "maximum_in_flight": 7}}
        answer = await cluster.call(daemon.operator_address, "PUT", POOL, changed)
        assert (answer.status, answer.error["code"]) == (503, "durability_unavailable")
        assert daemon.parts.configuration.state.get("Pool", "modelos").spec.maximum_in_flight != 7

    run_cluster(scenario)


def test_watch_asks_the_daemons_themselves(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2", labels={"rack": "r2"})
        cluster.log_clients["d2"].down = True
        await cluster.configure(first)
        answer = await cluster.call(first.operator_address, "GET", "/v1/watch")
        views = {view["daemon_id"].partition("/")[0]: view for view in answer.json["daemons"]}
        assert views["d1"]["behind"] == 0 and views["d1"]["life"] == "ready"
        assert views["d2"]["labels"] == {"rack": "r2"} and views["d2"]["reached"]
        await second.close()
        gone = await cluster.call(first.operator_address, "GET", "/v1/watch")
        assert [view["reached"] for view in gone.json["daemons"]] == [False, True]

    run_cluster(scenario)


def test_a_daemon_without_the_log_takes_the_configuration_from_peers(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2")
        cluster.log_clients["d2"].down = True
        await cluster.configure(first)
        wanted = first.parts.configuration.state.revision
        await cluster.until(lambda: second.parts.configuration.state.revision == wanted)

    run_cluster(scenario)


def test_a_new_daemon_serves_nothing_before_it_knows_the_configuration(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        await cluster.configure(first)
        cluster.client_of("d2").down = True
        second = await cluster.start("d2", wait=False)
        assert (await cluster.call(second.operator_address, "GET", "/readyz")).status == 503
        assert (await cluster.call(second.operator_address, "GET", "/healthz")).status == 200
        body = {"model": "m", "prompt": "x"}
        early = await cluster.post(second, "/v1/completions", body)
        assert (early.status, early.error["code"], early.error["execution"]) == (503, "not_ready", "not_run")
        cluster.log_clients["d2"].down = False
        await cluster.until(second.context.ready)
        assert second.parts.configuration.state.revision == first.parts.configuration.state.revision

    run_cluster(scenario)


def test_operators_port_needs_the_credential_which_is_never_logged(run_cluster, caplog):
    async def scenario(cluster):
        daemon = await cluster.start(credentials=CredentialSettings(operators=Credential(SECRET)))
        address = daemon.operator_address
        for path in ("/v1/config", "/v1/watch", "/metrics"):
            assert (await cluster.call(address, "GET", path)).status == 401
            right = {"Authorization": f"Bearer {SECRET}"}
            assert (await cluster.call(address, "GET", path, headers=right)).status == 200
        assert (await cluster.call(address, "GET", "/readyz")).status == 200
        await daemon.stop()

    caplog.set_level("DEBUG")
    run_cluster(scenario)
    assert SECRET not in json.dumps([str(record.__dict__) for record in caplog.records])


def test_metrics_count_answers(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        await cluster.post(daemon, "/v1/completions", b"{")
        metrics = (await cluster.call(daemon.operator_address, "GET", "/metrics")).body.decode()
        assert 'passgate_requests_total{port="caller",route="completions",status="400"} 1.0' in metrics
        assert 'code="malformed_body",execution="not_run"' in metrics

    run_cluster(scenario)


def test_a_new_daemon_that_reads_a_lagging_log_replica_asks_its_peers(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        await cluster.configure(first)
        cluster.client_of("d2").hidden_records = 1
        seen = []
        second = await cluster.start("d2", wait=False)
        second.parts.configuration.subscribe(lambda state: seen.append(second.context.ready()))
        await cluster.until(second.context.ready)
        assert second.parts.configuration.state.revision == first.parts.configuration.state.revision
        assert not any(seen), "no revision may come into force after the daemon said that it is ready"

    run_cluster(scenario)


def test_failing_background_work_is_logged_and_goes_on(run_cluster, caplog):
    async def scenario(cluster):
        daemon = await cluster.start()
        machines, cluster.machines.listed = cluster.machines.listed, None
        await cluster.until(lambda: "background_work_failed" in caplog.messages)
        cluster.machines.listed = [*machines, APP_2]
        await cluster.until(lambda: daemon.parts.directory.get("a2") is not None)

    run_cluster(scenario)
