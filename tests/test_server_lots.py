from passgate.schema import FinishReason

PROMPTS = [{"prompt": [index, 7], "max_tokens": 4} for index in range(6)]
LOT = {"model": "m", "staleness_bound": 1, "trainer_version": 3, "prompts": PROMPTS}
TRAINER = {"X-Passgate-Caller": "trainer-a"}


async def read_all_samples(cluster, daemons, lot_id):
    """Read all samples of a lot, each page from the next daemon in turn."""
    cursor, samples, turn = 0, [], 0
    while True:
        path = f"/v1/lots/{lot_id}/samples?cursor={cursor}&limit=2&wait_s=5&trainer_version=3"
        daemon = daemons[turn % len(daemons)]
        page = await cluster.get(daemon, path, headers=TRAINER)
        assert page.status == 200, page.body
        samples += page.json["samples"]
        cursor = page.json["next_cursor"]
        if page.json["finished"]:
            return samples
        turn += 1


def test_a_lot_is_delivered_exactly_once_through_any_daemon(run_cluster):
    async def scenario(cluster):
        daemons = [await cluster.start("d1"), await cluster.start("d2")]
        await cluster.configure(daemons[0])
        await cluster.until(lambda: daemons[1].components.configuration.state.get("Pool", "modelos"))
        opened = await cluster.post(daemons[0], "/v1/lots", LOT, {**TRAINER, "Idempotency-Key": "step-1"})
        assert opened.status == 201
        lot_id = opened.json["lot_id"]
        again = await cluster.post(daemons[1], "/v1/lots", LOT, {**TRAINER, "Idempotency-Key": "step-1"})
        assert again.json["lot_id"] == lot_id
        samples = await read_all_samples(cluster, daemons, lot_id)
        assert sorted(sample["index"] for sample in samples) == list(range(6))
        assert all(sample["spans"] == [{"start": 0, "end": 4, "version": 3}] for sample in samples)
        assert {sample["finish_reason"] for sample in samples} == {FinishReason.LENGTH.value}
        ids = {"sample_ids": [sample["sample_id"] for sample in samples]}
        path = f"/v1/lots/{lot_id}/acknowledge"
        assert (await cluster.post(daemons[1], path, ids, TRAINER)).status == 200
        info = await cluster.get(daemons[1], f"/v1/lots/{lot_id}", headers=TRAINER)
        assert info.json["acknowledged"] == 6 and info.json["finished"]

    run_cluster(scenario)


def test_the_lot_of_another_caller_is_not_found(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        opened = await cluster.post(daemon, "/v1/lots", {**LOT, "lot_id": "l1"}, TRAINER)
        assert opened.json["lot_id"] == "l1"
        other_caller = {"X-Passgate-Caller": "trainer-b"}
        for method, path in (("GET", ""), ("DELETE", ""), ("GET", "/samples"), ("POST", "/acknowledge")):
            answer = await cluster.call(
                daemon.caller_address,
                method,
                f"/v1/lots/l1{path}",
                {"sample_ids": ["l1/0"]} if method == "POST" else None,
                other_caller,
            )
            assert (answer.status, answer.error["code"]) == (404, "not_found")
        assert (await cluster.get(daemon, "/v1/lots/l2", headers=TRAINER)).status == 404

    run_cluster(scenario)


def test_invalid_lot_requests_get_typed_errors(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        address = daemon.caller_address
        invalid_bodies = [
            {**LOT, "prompts": []},
            {**LOT, "staleness_bound": -1},
            {**LOT, "lot_id": "../x"},
            {**LOT, "deadline_s": 0},
            {**LOT, "prompts": [{"prompt": [], "max_tokens": 1}]},
            {**LOT, "prompts": [{"prompt": [1], "max_tokens": 0}]},
            {**LOT, "prompts": [{"prompt": [-1], "max_tokens": 1}]},
            {**LOT, "colour": "red"},
        ]
        for body in invalid_bodies:
            answer = await cluster.call(address, "POST", "/v1/lots", body, TRAINER)
            assert (answer.status, answer.error["execution"]) == (400, "not_run"), body
        await cluster.call(address, "POST", "/v1/lots", {**LOT, "lot_id": "l1"}, TRAINER)
        for query in (
            "cursor=-1",
            "cursor=x",
            "limit=0",
            "wait_s=nan",
            "trainer_version=1e3",
            "cursor=" + "9" * 40,
        ):
            answer = await cluster.call(address, "GET", f"/v1/lots/l1/samples?{query}", headers=TRAINER)
            assert (answer.status, answer.error["execution"]) == (400, "not_run"), query
        foreign_id = {"sample_ids": ["other/0"]}
        assert (
            await cluster.call(address, "POST", "/v1/lots/l1/acknowledge", foreign_id, TRAINER)
        ).status == 400

    run_cluster(scenario)


def test_versions_are_published_once_and_listed(run_cluster):
    async def scenario(cluster):
        daemon = await cluster.start()
        await cluster.configure(daemon)
        path = "/v1/models/m/versions"
        for _ in range(2):
            answer = await cluster.post(daemon, path, {"version": 4, "uri": "w/4"}, TRAINER)
            assert answer.status == 201, answer.body
        conflicting = await cluster.post(daemon, path, {"version": 4, "uri": "w/else"}, TRAINER)
        assert (conflicting.status, conflicting.error["code"]) == (409, "revision_conflict")
        listed = await cluster.get(daemon, path)
        assert listed.json["newest"] == 4
        assert [view["spec"]["version"] for view in listed.json["versions"]] == [4, 3]

    run_cluster(scenario)
