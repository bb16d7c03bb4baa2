import asyncio

import pytest

from passgate.clients.curl import HttpClient
from passgate.demo import DEPLOYMENTS, DeploymentResult, DeploymentRun, _staleness_p99, demo_parameters
from passgate.demo_deployment import ChildProcess, configuration_objects, pool_name_of_model
from passgate.emulator.caller_outcomes import CallerOutcomes, TrainerOutcomes
from passgate.emulator.parameters import load_deployment
from passgate.errors import PlatformError
from passgate.state.specs import decode_spec

REQUIRED_FIELDS = (
    "samples_delivered samples_lost samples_doubled samples_over_staleness answers_wrong interactive_p99_ms "
    "trainer_idle_share staleness_p99 refused_not_run not_run_that_ran violations"
)


def test_the_result_has_all_required_figures():
    assert set(REQUIRED_FIELDS.split()) <= set(DeploymentResult.__struct_fields__)


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_demo_deployments_keep_their_size_and_have_valid_configuration(name):
    parameters, original = demo_parameters(name), load_deployment(name)
    assert (parameters.engines, parameters.apps, parameters.zones) == (
        original.engines,
        original.apps,
        original.zones,
    )
    objects = configuration_objects(parameters)
    for item in objects:
        decode_spec(item.kind, bytes(item.spec), strict=True)
    names = {item.name for item in objects}
    assert {pool_name_of_model(parameters, model.name) for model in parameters.engines.models} <= names
    assert pool_name_of_model(parameters, "") in names


def test_staleness_percentile_covers_samples_of_all_trainers():
    first = TrainerOutcomes(name="a", staleness={0: 95, 1: 3})
    second = TrainerOutcomes(name="b", staleness={2: 2})
    assert _staleness_p99(CallerOutcomes(trainers=[first, second])) == 2
    assert _staleness_p99(CallerOutcomes()) == 0


def test_the_error_for_an_ended_daemon_contains_its_zone_and_output(tmp_path, monkeypatch):
    async def scenario():
        http = HttpClient()
        run = DeploymentRun("olhar", tmp_path, http, seed=1, duration_s=1.0)
        processes = run._processes
        ended_process = ChildProcess(
            "caruaru", ["-c", "raise SystemExit('bad start')"], tmp_path / "caruaru.log"
        )
        processes.daemon_by_zone["caruaru"] = ended_process
        processes.operator_address_by_zone["caruaru"] = "127.0.0.1:1"
        await ended_process.start()
        with pytest.raises(PlatformError, match="daemon caruaru ended: bad start"):
            await processes.wait_until_ready("caruaru")
        http.close()

    asyncio.run(scenario())
