import json

from passgate.schema import MachineInfo, MachineRole
from passgate.settings import Credential, CredentialSettings, LimitSettings

SPEC = {"selector": "kind=engine", "role": "engine", "model": "m"}
POOL = "/v1/config/Pool/modelos"
SECRET = "operators-secret"
APP_2 = MachineInfo(machine_id="a2", role=MachineRole.APP, address="127.0.0.1:3", zone="z")


def test_objects_can_be_put_listed_by_selector_and_deleted(run_cluster):
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


def test_a_conflict_reports_the_current_revision(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2")
        accepted = await cluster.call(
            first.operator_address, "PUT", POOL, {"spec": SPEC, "expected_revision": 0}
        )
        rejected = await cluster.call(
            second.operator_address, "PUT", POOL, {"spec": SPEC, "expected_revision": 0}
        )
        assert (rejected.status, rejected.error["code"]) == (409, "revision_conflict")
        assert rejected.error["details"]["revision"] == str(accepted.json["revision"])

    run_cluster(scenario)


def test_apply_stops_at_the_first_error_and_reports_earlier_objects(run_cluster):
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
        assert daemon.components.configuration.state.get("Pool", "a") is not None

    run_cluster(scenario)


def test_a_change_while_the_log_is_down_is_refused_without_effect(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start(limits=LimitSettings(durability_timeout_s=0.3))
        await cluster.configure(daemon)
        cluster.log_clients["d1"].down = True
        changed = {"spec": {**SPEC, "maximum_in_flight": 7}}
        answer = await cluster.call(daemon.operator_address, "PUT", POOL, changed)
        assert (answer.status, answer.error["code"]) == (503, "durability_unavailable")
        assert daemon.components.configuration.state.get("Pool", "modelos").spec.maximum_in_flight != 7

    run_cluster(scenario)


def test_watch_requests_the_status_of_each_daemon(run_cluster):
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
        after_close = await cluster.call(first.operator_address, "GET", "/v1/watch")
        assert [view["reached"] for view in after_close.json["daemons"]] == [False, True]

    run_cluster(scenario)


def test_a_daemon_that_cannot_read_the_log_gets_the_configuration_from_peers(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        second = await cluster.start("d2")
        cluster.log_clients["d2"].down = True
        await cluster.configure(first)
        revision = first.components.configuration.state.revision
        await cluster.until(lambda: second.components.configuration.state.revision == revision)

    run_cluster(scenario)


def test_a_new_daemon_refuses_requests_until_it_knows_the_configuration(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        await cluster.configure(first)
        cluster.client_of("d2").down = True
        second = await cluster.start("d2", wait=False)
        assert (await cluster.call(second.operator_address, "GET", "/readyz")).status == 503
        assert (await cluster.call(second.operator_address, "GET", "/healthz")).status == 200
        body = {"model": "m", "prompt": "x"}
        refused = await cluster.post(second, "/v1/completions", body)
        assert (refused.status, refused.error["code"], refused.error["execution"]) == (
            503,
            "not_ready",
            "not_run",
        )
        cluster.log_clients["d2"].down = False
        await cluster.until(second.context.is_ready)
        assert second.components.configuration.state.revision == first.components.configuration.state.revision

    run_cluster(scenario)


def test_operators_port_requires_the_credential_and_never_logs_it(run_cluster, caplog):
    async def scenario(cluster):
        daemon = await cluster.start(credentials=CredentialSettings(operators=Credential(SECRET)))
        address = daemon.operator_address
        for path in ("/v1/config", "/v1/watch", "/metrics"):
            assert (await cluster.call(address, "GET", path)).status == 401
            valid_headers = {"Authorization": f"Bearer {SECRET}"}
            assert (await cluster.call(address, "GET", path, headers=valid_headers)).status == 200
        assert (await cluster.call(address, "GET", "/readyz")).status == 200
        await daemon.stop()

    caplog.set_level("DEBUG")
    run_cluster(scenario)
    assert SECRET not in json.dumps([str(record.__dict__) for record in caplog.records])


def test_metrics_count_answers_and_errors(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        await cluster.post(daemon, "/v1/completions", b"{")
        metrics = (await cluster.call(daemon.operator_address, "GET", "/metrics")).body.decode()
        assert 'passgate_requests_total{port="caller",route="completions",status="400"} 1.0' in metrics
        assert 'code="malformed_body",execution="not_run"' in metrics

    run_cluster(scenario)


def test_a_new_daemon_that_reads_a_lagging_log_replica_gets_missing_records_from_peers(run_cluster):
    async def scenario(cluster):
        first = await cluster.start("d1")
        await cluster.configure(first)
        cluster.client_of("d2").hidden_records = 1
        was_ready_at_changes = []
        second = await cluster.start("d2", wait=False)
        second.components.configuration.subscribe(
            lambda state: was_ready_at_changes.append(second.context.is_ready())
        )
        await cluster.until(second.context.is_ready)
        assert second.components.configuration.state.revision == first.components.configuration.state.revision
        assert not any(was_ready_at_changes), (
            "the configuration must not change after the daemon became ready"
        )

    run_cluster(scenario)


def test_failed_background_work_is_logged_and_restarted(run_cluster, caplog):
    async def scenario(cluster):
        daemon = await cluster.start()
        machines, cluster.machines.listed = cluster.machines.listed, None
        await cluster.until(lambda: "background_work_failed" in caplog.messages)
        cluster.machines.listed = [*machines, APP_2]
        await cluster.until(lambda: daemon.components.directory.get("a2") is not None)

    run_cluster(scenario)
