import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from passgate import cli, settings_page
from passgate.emulator.parameters import load_deployment
from passgate.emulator.standins_server import EmulatorServers
from passgate.errors import VerificationFailed
from passgate.operator_commands import read_objects
from passgate.settings import load_settings

ROOT = Path(__file__).parent.parent
SECRET = "very-secret-words"


def run_until_exit(capsys, *arguments):
    """Run a command that raises SystemExit; return the exit code and the captured output."""
    with pytest.raises(SystemExit) as exit_info:
        cli.main(arguments)
    return exit_info.value.code, capsys.readouterr()


@pytest.mark.parametrize(
    ("arguments", "expected_text"),
    [
        (("nosuch",), "serve, apply"),
        (("serve", "--settings", "absent.yaml"), "absent.yaml"),
        (("serve", "--zone", "a", "--zoen", "b"), "zoen"),
        (("apply", "absent.yaml", "--operator", "127.0.0.1:1"), "absent.yaml"),
        (("get", "Pool", "--operator", "somewhere:80"), "numeric IP"),
        (("get", "Pool"), "numeric IP"),
    ],
)
def test_invalid_input_prints_one_error_line_and_exits_with_code_2(
    capsys, monkeypatch, arguments, expected_text
):
    monkeypatch.delenv("PASSGATE_OPERATOR", raising=False)
    code, output = run_until_exit(capsys, *arguments)
    assert code == 2
    assert output.err.startswith("passgate: bad_settings: ") and expected_text in output.err
    assert output.err.count("\n") == 1


def test_failed_checks_and_unreachable_daemons_exit_with_code_1(capsys, monkeypatch):
    assert cli.exit_code(VerificationFailed("violated")) == 1
    code, output = run_until_exit(capsys, "get", "Pool", "--operator", "127.0.0.1:1")
    assert code == 1 and "backend_unreachable" in output.err


def test_command_of_a_missing_module_fails_only_when_it_is_run(capsys, monkeypatch):
    missing = cli.Command("passgate.nosuch", "Commands", "nothing")
    monkeypatch.setitem(cli.COMMANDS, "lab", missing)
    code, output = run_until_exit(capsys, "lab", "run")
    assert code == 2 and "not part of this build" in output.err
    code, output = run_until_exit(capsys, "--help")
    assert code == 0 and "lab" in output.out


def test_help_flag_of_a_command_that_accepts_any_flag(capsys):
    code, output = run_until_exit(capsys, "serve", "--help")
    assert code == 0 and "SETTINGS" in output.out + output.err


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        ("objects: [{kind: Pool, name: a}]", "spec"),
        ("objects: [{kind: Tool, name: a, spec: {}}]", "Tool"),
        ("objects: [{kind: Pool, name: a, spec: {selector: 'x in (', role: app}}]", "Pool/a"),
        ("objects: [{kind: Pool, name: a, spec: {selector: x, role: app, colour: red}}]", "colour"),
        ("objects: [{kind: Pool, name: a, labels: {x: a, x: b}, spec: {}}]", "x"),
        ("objects: [&o {kind: Pool, name: a, spec: {selector: x, role: app}}, *o]", "twice"),
    ],
)
def test_invalid_object_files_are_refused_before_they_are_sent(tmp_path, capsys, text, expected_text):
    path = tmp_path / "objects.yaml"
    path.write_text(text)
    code, output = run_until_exit(capsys, "apply", str(path), "--operator", "127.0.0.1:1")
    assert code == 2
    assert "objects.yaml" in output.err and expected_text in output.err


def test_example_files_are_valid_and_the_settings_page_is_current():
    assert load_settings(ROOT / "settings" / "daemon.yaml").zone == "caruaru"
    assert len(read_objects(str(ROOT / "settings" / "objects.yaml"))) == 5
    committed = (ROOT / "docs" / "operators" / "settings.md").read_text()
    assert committed == settings_page.render(), (
        "run: .venv/bin/python -m passgate.settings_page > docs/operators/settings.md"
    )


def test_every_setting_has_a_description():
    for _, _, rows in settings_page.sections():
        assert [row.key for row in rows if not row.description] == []


async def _run_command(*arguments, **environment):
    """Run a command in a process of its own; return exit code, standard output and standard error."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "passgate",
        *arguments,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, **environment},
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


async def _wait_until_ready(process, lines):
    """Append the daemon's log lines to ``lines`` until it is ready; return its operators' address."""
    async with asyncio.timeout(20):
        address = ""
        while line := (await process.stderr.readline()).decode():
            lines.append(json.loads(line))
            if lines[-1]["change"] == "daemon_started":
                address = lines[-1]["operators"]
            if lines[-1]["change"] == "daemon_ready":
                return address
    raise AssertionError(lines)


def test_daemon_process_starts_serves_operators_commands_and_shuts_down(tmp_path):
    async def scenario():
        stand_ins = EmulatorServers(load_deployment("olhar"))
        addresses = await stand_ins.start()
        settings_file = tmp_path / "daemon.yaml"
        settings_file.write_text(
            f"daemon_id: d1\nzone: caruaru\nlog_address: {addresses.logs['caruaru']}\n"
            f"machine_list_address: {addresses.platform}\ncredentials: {{operators: {SECRET}}}\n"
            "stop: {notice_s: 0.1, leave_timeout_s: 0.1}\n"
        )
        daemon = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "passgate",
            "serve",
            "--settings",
            str(settings_file),
            stderr=subprocess.PIPE,
        )
        lines = []
        try:
            operator = await _wait_until_ready(daemon, lines)
            await _check_operator_commands(operator)
            daemon.send_signal(signal.SIGTERM)
            remaining_lines = (await daemon.stderr.read()).decode().splitlines()
            assert await daemon.wait() == 0
        finally:
            with contextlib.suppress(ProcessLookupError):
                daemon.kill()
            stand_ins.close()
        lines += [json.loads(line) for line in remaining_lines]
        changes = [line["change"] for line in lines]
        assert changes[-1] == "daemon_stopped" and lines[-1]["whole"] is True
        assert changes.index("stop_announced") < changes.index("stop_draining")
        assert SECRET not in json.dumps(lines)

    asyncio.run(scenario())


async def _check_operator_commands(operator):
    environment = {"PASSGATE_OPERATOR": operator, "PASSGATE_CREDENTIAL": SECRET}
    objects = str(ROOT / "settings" / "objects.yaml")
    refused = await _run_command("get", "Pool", PASSGATE_OPERATOR=operator)
    assert refused[0] == 2 and "unauthorized" in refused[2]
    assert (await _run_command("diff", objects, **environment))[0] == 1
    code, output, _ = await _run_command("apply", objects, **environment)
    assert code == 0 and "Pool/modelos revision" in output
    assert (await _run_command("diff", objects, **environment))[:2] == (0, "")
    code, output, _ = await _run_command("get", "Pool", "--selector", "tier=line", "--json", **environment)
    assert [item["name"] for item in json.loads(output)["objects"]] == ["linha"]
    code, output, _ = await _run_command("watch", "--once", "--json", **environment)
    assert [view["behind"] for view in json.loads(output)["daemons"]] == [0]


@pytest.mark.parametrize("name", sorted(cli.COMMANDS))
def test_every_command_can_be_imported(name):
    assert callable(cli.find_command(name)) or cli.find_command(name).__doc__
