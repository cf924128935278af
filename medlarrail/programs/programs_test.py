"""Tests of the programs as separate processes, through their public interfaces."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest
import trio

from medlarrail.standins.engine import make_answer
from medlarrail.testing.deployment import MODEL, SERVICE, Layout
from medlarrail.testing.processes import run_deployment
from medlarrail.transport.client import HttpClient

BIN = Path(sys.executable).parent
PROMPT = "where do we sit? " * 20


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    layout = Layout(states=1, stores=1)
    with run_deployment(tmp_path_factory.mktemp("deployment"), layout) as processes:
        yield processes


@pytest.fixture(scope="module")
def key(processes):
    return trio.run(processes.add_contract, "lea-college")


@pytest.fixture
async def caller(processes, key):
    client = HttpClient(key)
    yield Caller(client, processes.deployment.list_urls("entry")[0])
    await client.aclose()


class Caller:
    """Sends requests to one entry."""

    def __init__(self, client, url):
        self.client = client
        self.url = url

    async def send(self, method, path, body=None, **headers):
        data = body if isinstance(body, bytes) else orjson.dumps(body or {})
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.client.fetch(method, self.url + path, data, headers)

    async def send_expecting_error(self, method, path, body=None, **headers):
        answer = await self.send(method, path, body, **headers)
        return answer, orjson.loads(answer.body)["error"]


class TestCallers:
    async def test_a_completion_returns_the_full_answer(self, caller):
        body = {"model": MODEL, "prompt": PROMPT, "max_tokens": 4}
        answer = await caller.send("POST", "/v1/completions", body)
        choice = orjson.loads(answer.body)["choices"][0]
        assert choice["text"] == make_answer(PROMPT, "v1", 4)

    async def test_a_chat_is_streamed(self, caller):
        message = {"role": "user", "content": "hello"}
        body = {"model": MODEL, "messages": [message], "stream": True}
        answer = await caller.send("POST", "/v1/chat/completions", body)
        assert answer.body.endswith(b"data: [DONE]\n\n")
        assert b'"delta":{"content":' in answer.body

    async def test_models_and_entries_are_listed(self, caller):
        models = orjson.loads((await caller.send("GET", "/v1/models")).body)
        assert [model["id"] for model in models["data"]] == [MODEL]
        entries = orjson.loads((await caller.send("GET", "/v1/entries")).body)
        assert len(entries["entries"]) == 2 and entries["keep_s"] > 0

    @pytest.mark.parametrize(
        ("path", "body", "status", "kind"),
        [
            ("/v1/completions", b"{", 400, "BadJson"),
            ("/v1/completions", {"model": MODEL}, 400, "BadField"),
            ("/v1/completions", {"model": "x", "prompt": "p"}, 404, "UnknownModel"),
            (
                "/v1/completions",
                {"model": MODEL, "prompt": "p", "max_tokens": 0},
                400,
                "BadField",
            ),
            ("/v1/services/none/x", {}, 404, "UnknownService"),
            (f"/v1/services/{SERVICE}/purchase", {}, 400, "IdempotencyKeyMissing"),
            ("/v1/nowhere", {}, 404, "UnknownRoute"),
        ],
    )
    async def test_a_bad_request_gets_a_typed_error_and_is_not_run(
        self, caller, path, body, status, kind
    ):
        answer, error = await caller.send_expecting_error("POST", path, body)
        assert (answer.status, error["type"], error["run"]) == (status, kind, "no")

    async def test_a_wrong_key_is_refused(self, caller):
        body = {"model": MODEL, "prompt": "p"}
        answer, error = await caller.send_expecting_error(
            "POST", "/v1/completions", body, authorization="Bearer nobody"
        )
        assert (answer.status, error["type"]) == (401, "WrongKey")

    async def test_an_oversized_body_is_refused(self, caller):
        answer, error = await caller.send_expecting_error(
            "POST", "/v1/completions", b"x" * 9_000_000
        )
        assert (answer.status, error["type"]) == (413, "OverLongBody")

    async def test_a_deadline_is_enforced(self, caller):
        body = {"model": MODEL, "prompt": "deadline", "max_tokens": 500}
        started_at = trio.current_time()
        answer = await caller.send("POST", "/v1/completions", body, x_deadline_ms="400")
        assert answer.status == 504
        assert trio.current_time() - started_at < 2

    async def test_a_purchase_runs_once(self, caller):
        path = f"/v1/services/{SERVICE}/purchase"
        answers = [
            await caller.send("POST", path, {"seat": 1}, idempotency_key="k1")
            for _ in range(3)
        ]
        assert len({answer.body for answer in answers}) == 1
        assert orjson.loads(answers[0].body)["runs"] == 1
        _, error = await caller.send_expecting_error(
            "POST", path, {"seat": 2}, idempotency_key="k1"
        )
        assert error["type"] == "IdempotencyKeyReused"

    async def test_a_callers_key_gives_no_access_to_other_routes(self, caller):
        for method, path in (
            ("GET", "/metrics"),
            ("POST", "/v1/status"),
            ("POST", "/internal/permit/acquire"),
            ("POST", "/v1/announce"),
        ):
            answer = await caller.send(method, path)
            assert answer.status == 401

    async def test_metrics_are_prometheus_text(self, processes, caller):
        answer = await processes.operator.fetch("GET", caller.url + "/metrics")
        assert b"medlar_first_token_seconds_count" in answer.body


class TestMemory:
    async def test_each_daemon_stays_within_its_memory_limit(self, processes):
        for process in processes.deployment.processes:
            if process.role in ("state", "entry", "store"):
                answer = await processes.client.fetch("GET", process.url + "/health")
                health = orjson.loads(answer.body)
                assert health["peak_memory_bytes"] <= 128_000_000, process.name


def run_medlar(processes, *arguments):
    """Run the operators' command line."""
    command = [BIN / "medlar", "--settings", processes.deployment.operator_file]
    return subprocess.run([*command, *arguments], capture_output=True, text=True)


class TestOperators:
    def test_a_contract_is_set_shown_and_deleted(self, processes):
        created = run_medlar(
            processes, "contract", "set", "a", "--share", "2", "--json"
        )
        assert created.returncode == 0, created.stderr
        shown = run_medlar(processes, "contract", "get", "a", "--json")
        assert orjson.loads(shown.stdout)["share"] == 2.0
        assert run_medlar(processes, "contract", "delete", "a").returncode == 0
        missing = run_medlar(processes, "contract", "get", "a")
        assert missing.returncode == 4 and "NotFound" in missing.stderr

    def test_a_stale_revision_is_a_conflict_with_the_current_one(self, processes):
        first = run_medlar(processes, "data-centre", "in", "tay", "--json")
        revision = orjson.loads(first.stdout)["outcome"]["revision"]
        again = run_medlar(
            processes, "data-centre", "out", "tay", "--seen-revision", "0"
        )
        assert again.returncode == 4
        assert f"present={revision}" in again.stderr

    def test_a_resent_command_gets_the_original_answer(self, processes):
        arguments = ("data-centre", "in", "dee", "--command-id", "c7", "--json")
        first = run_medlar(processes, *arguments, "--seen-revision", "0")
        again = run_medlar(processes, *arguments, "--seen-revision", "0")
        assert orjson.loads(first.stdout) == orjson.loads(again.stdout)

    def test_blocked_parts_are_listed_and_released(self, processes):
        listed = run_medlar(processes, "blocked", "list", "--json")
        assert orjson.loads(listed.stdout) == {"items": []}
        shown = run_medlar(processes, "blocked", "list")
        assert "trials" in shown.stdout
        missing = run_medlar(processes, "blocked", "release", "guide+a1")
        assert missing.returncode == 4 and "NotFound" in missing.stderr

    def test_rollouts_are_refused_without_settings(self, processes):
        """A deployment without limits of their exposure has no rollouts."""
        start = ("rollout", "start", "guide", "v2", "--duration-s", "9")
        commands = (start, ("rollout", "show", "guide"), ("rollout", "roll-back", "x"))
        for command in commands:
            result = run_medlar(processes, *command)
            assert result.returncode == 4 and "NotFound" in result.stderr, command

    def test_status_shows_the_leader(self, processes):
        result = run_medlar(processes, "status", "--json")
        status = orjson.loads(result.stdout)
        assert [member["leader"] for member in status["members"]] == ["state-1"]
        assert len(status["entries"]) == 2

    def test_status_shows_counters(self, processes):
        result = run_medlar(processes, "status", "--counters")
        assert result.returncode == 0, result.stderr
        assert "counters of entry-1:" in result.stdout
        assert "engine-1" in result.stdout

    def test_watch_stops_after_its_count(self, processes):
        result = run_medlar(processes, "watch", "--count", "1")
        assert result.returncode == 0 and "state-1" in result.stdout

    def test_a_wrong_operator_key_is_refused(self, processes, tmp_path):
        settings = orjson.loads(Path(processes.deployment.operator_file).read_bytes())
        path = tmp_path / "operator.json"
        path.write_bytes(orjson.dumps({**settings, "key": "wrong"}))
        result = subprocess.run(
            [BIN / "medlar", "--settings", path, "contract", "list"],
            capture_output=True,
            text=True,
        )
        assert result.returncode == 4 and "WrongKey" in result.stderr


class TestCheckSettings:
    def check(self, program, path):
        command = [BIN / program, "check-settings", path]
        return subprocess.run(command, capture_output=True, text=True)

    @pytest.mark.parametrize("role", ["state", "entry", "store"])
    def test_good_settings_are_ok(self, processes, role):
        process = next(
            candidate
            for candidate in processes.deployment.processes
            if candidate.role == role
        )
        result = self.check(f"medlar-{role}", process.settings_file)
        assert result.returncode == 0 and result.stdout.endswith(": ok\n")

    def test_every_error_is_reported_with_its_path(self, processes, tmp_path, snapshot):
        process = processes.deployment.find("entry-1")
        settings = orjson.loads(Path(process.settings_file).read_bytes())
        settings["listen"]["port"] = "http"
        settings["colour"] = "red"
        del settings["keys"]["cluster"]
        path = tmp_path / "entry.json"
        path.write_bytes(orjson.dumps(settings))
        result = self.check("medlar-entry", path)
        assert result.returncode == 3
        assert result.stderr.replace(str(path), "entry.json") == snapshot

    def test_a_missing_file_is_reported(self, tmp_path):
        result = self.check("medlar-entry", tmp_path / "none.json")
        assert result.returncode == 3 and "No such file" in result.stderr
