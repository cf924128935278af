"""Tests that the soak's checks find planted faults.

A check that finds nothing in sound runs may be one that cannot find anything.
"""

import subprocess
import time
from functools import partial
from pathlib import Path
from random import Random

import orjson
import pytest
import trio
import trio.testing
from attrs import evolve

from medlarrail.platform.soak.callers import Answer, Call, Caller
from medlarrail.platform.soak.check import (
    CONTACT_S,
    DRAIN_LIMIT_S,
    EARLY_CLOSE,
    ISOLATION_LIMIT_S,
    WEIGHTS_LIMIT_S,
    Records,
    Run,
    Violation,
    check_call,
    check_departures,
    check_isolation,
    check_runs,
    check_weights,
    count_calls,
    is_announced,
    is_cut,
    is_sound,
    name_early_closes,
    read_records,
)
from medlarrail.platform.soak.control_faults import hold
from medlarrail.platform.soak.engine import (
    BODY_LINES,
    HEARTBEAT_S,
    Engine,
    EngineConnection,
    EngineSettings,
    disorder,
)
from medlarrail.platform.soak.events import (
    LARGE_SUFFIX,
    build_body,
    build_event,
    parse_events,
)
from medlarrail.platform.soak.faults import Faults
from medlarrail.platform.soak.rollouts import LIMITS, Rollout
from medlarrail.platform.soak.site import (
    WIDE_ENGINES,
    Disturbance,
    Isolation,
    NamedWeights,
    RunningProgram,
    Site,
)
from medlarrail.platform.soak.take_ups import (
    AMBIGUOUS,
    NAMED,
    UNNAMED,
    TakeUps,
    count_take_ups,
    read_reasons,
)
from medlarrail.platform.soak.wire import Head, build_head
from medlarrail.testing.fault_proxy import FaultProxy
from medlarrail.testing.scripted_endpoints import HOST

PROMPT = "c1-1"
COUNT = 6


def build_answer(numbers, ending="regular", version="v1", prompt=PROMPT, **fields):
    """Return an answer with the events ``numbers``."""
    request_id = fields.setdefault("request_id", "r1")
    body = b"".join(
        build_event(prompt, version, number, request_id) for number in numbers
    )
    defaults = {"gateway": "edge-1", "sent_at": 1.0}
    defaults |= {"status": 200, "framing": "close", "ended_at": 2.0}
    return Answer(**{**defaults, **fields}, ending=ending, events=parse_events(body))


def list_kinds(*answers, kind="resumable"):
    """Return the kinds of the violations in a stream."""
    call = Call(kind, PROMPT, COUNT, list(answers))
    return [violation.kind for violation in check_call(call)]


class TestStreams:
    def test_sound_streams_violate_the_promise(self):
        assert list_kinds(build_answer(range(1, 7))) == []
        assert list_kinds(build_answer([1, 2], "broken")) == []
        taken_up = build_answer(range(3, 7))
        assert list_kinds(build_answer([1, 2], "broken"), taken_up) == []
        assert list_kinds(build_answer([1, 2], "left"), taken_up) == []
        assert list_kinds(Answer("r1", "edge-1", 1.0, status=503)) == []

    @pytest.mark.parametrize(
        ("numbers", "kind"),
        [
            ([1, 2, 4, 5, 6], "hole"),
            ([2, 3, 4, 5, 6], "hole"),
            ([1, 2, 2, 3, 4, 5, 6], "doubled event"),
            ([1, 2, 3, 2, 3, 4, 5, 6], "event that goes back"),
            ([1, 2, 3], "early end"),
            ([], "early end"),
            ([1, 2, 3, 4, 5, 6, 7], "late end"),
        ],
    )
    def test_planted_fault_inside_an_answer_passes(self, numbers, kind):
        assert list_kinds(build_answer(numbers)) == [kind]

    def test_fault_in_large_events_passes(self):
        prompt = PROMPT + LARGE_SUFFIX
        call = Call("stream", prompt, 1, [build_answer([1], prompt=prompt)])
        assert check_call(call) == []
        (event,) = call.list_events()
        assert 1000 < len(event.text) <= 70_000
        call.answers[0].events[0] = evolve(event, text=event.text[:-1])
        assert [one.kind for one in check_call(call)] == ["foreign event"]

    def test_caller_that_left_takes_another_version(self):
        left = build_answer([1, 2], "left")
        assert not is_cut(left)
        taken_up = build_answer(range(3, 7), version="v2")
        assert list_kinds(left, taken_up) == ["joined runs"]

    @pytest.mark.parametrize(
        ("numbers", "version", "kind"),
        [
            (range(4, 7), "v1", "hole"),
            (range(2, 7), "v1", "doubled event"),
            (range(1, 7), "v1", "event that goes back"),
            (range(3, 7), "v2", "joined runs"),
            ([3, 4], "v1", "early end"),
        ],
    )
    def test_planted_fault_of_a_take_up_passes(self, numbers, version, kind):
        begun = build_answer([1, 2], "broken")
        assert list_kinds(begun, build_answer(numbers, version=version)) == [kind]

    def test_events_of_another_prompt_pass(self):
        assert list_kinds(build_answer([1], prompt="c1-2")) == ["foreign event"]

    def test_events_of_another_request_with_the_same_content_pass(self):
        """Their texts are those of the own request, if the software version is."""
        begun = build_answer([1, 2], "broken")
        other = build_answer(range(3, 7), request_id="r2")
        assert list_kinds(begun, other) == []
        other.request_id = "r3"
        assert list_kinds(begun, other) == ["event of another request"]

    @pytest.mark.parametrize("way", [0.0, 0.9])
    def test_faulty_endpoint_sends_sound_streams(self, way):
        numbers = disorder(list(range(1, 7)), COUNT, way)
        assert list_kinds(build_answer(numbers))
        taken_up = disorder(list(range(3, 7)), COUNT, way)
        assert list_kinds(build_answer([1, 2], "broken"), build_answer(taken_up))


class TestBodies:
    def test_part_of_a_body_passes(self):
        body = build_body(PROMPT, "v2", BODY_LINES)
        whole = build_answer([], body=body)
        part = build_answer([], body=body[:-1])
        assert list_kinds(whole, kind="unsafe") == []
        assert list_kinds(part, kind="unsafe") == ["incomplete body"]


class TestRuns:
    def build_run(self, **fields):
        defaults = {"framing": "close", "faulty": False, "began_at": 1.0}
        defaults["service"] = "talk"
        return Run("r1", record="engine-1", **{**defaults, **fields})

    @pytest.mark.parametrize(
        ("kind", "status", "run_count", "found"),
        [
            ("unsafe", 200, 1, []),
            ("unsafe", 200, 2, ["run twice"]),
            ("stream", 200, 2, ["run twice"]),
            ("resumable", 200, 2, []),
            ("unsafe", 503, 0, []),
            ("unsafe", 503, 1, ["run denied"]),
            ("stream", 421, 1, ["run denied"]),
            ("resumable", 429, 1, ["run denied"]),
            ("safe", 502, 2, []),
        ],
    )
    def test_repeated_and_denied_runs_pass(self, kind, status, run_count, found):
        call = Call(kind, PROMPT, COUNT, [build_answer([], status=status)])
        runs = {"r1": [self.build_run() for _ in range(run_count)]}
        kinds = [violation.kind for violation in check_runs([call], runs)]
        assert kinds == found

    @pytest.mark.parametrize(
        ("late_s", "disturbed", "since", "found"),
        [
            (0.1, "", 0.0, ["run after departure"]),
            (-0.1, "", 0.0, []),
            (0.1, "edge-1", 99.0, []),
            (0.1, "edge-3", 99.0, []),
            (0.1, "core-1", 99.0, []),
            (0.1, "engine-1", 99.0, []),
            (0.1, "edge-2", 99.0, ["run after departure"]),
            (0.1, "edge-1", 100.0 - CONTACT_S - 1.0, ["run after departure"]),
        ],
    )
    def test_run_after_a_departure_passes(
        self, late_s, disturbed, since, found, tmp_path
    ):
        """Only those count that processes in touch have sent."""
        site = Site(tmp_path, 1)
        core = RunningProgram("core-1", "state", [], tmp_path, tmp_path / "core-1", 1)
        site.states.append(core)
        site.disturbances.append(Disturbance(disturbed, since, since + 0.5))
        answer = build_answer([1], sent_at=100.0, ended_at=101.0)
        run = self.build_run(began_at=100.2)
        left_at = run.began_at - DRAIN_LIMIT_S - late_s
        records = Records({"r1": [run]}, departures={"engine-1": left_at})
        call = Call("stream", PROMPT, COUNT, [answer])
        kinds = check_departures(site, [call], records, {"r1": {"edge-3"}})
        assert [violation.kind for violation in kinds] == found

    @pytest.mark.parametrize("closed_early", [False, True])
    def test_early_close_hides_another_early_end(self, closed_early):
        found = [Violation("early end", "r1", ""), Violation("hole", "r1", "")]
        last = self.build_run(closed_early=closed_early)
        runs = {"r1": [self.build_run(closed_early=True), last]}
        kinds = [violation.kind for violation in name_early_closes(found, runs)]
        assert kinds == [EARLY_CLOSE if closed_early else "early end", "hole"]

    @pytest.mark.parametrize(
        ("kind", "found"), [("safe", []), ("chat", ["foreign run"])]
    )
    def test_run_at_another_service_passes(self, kind, found):
        call = Call(kind, PROMPT, COUNT, [build_answer([])])
        violations = check_runs([call], {"r1": [self.build_run()]})
        assert [violation.kind for violation in violations] == found

    @pytest.mark.parametrize(
        ("fields", "ends", "disturbed", "sound"),
        [
            ({}, {}, "", True),
            ({}, {"engine-1": 1.5}, "", False),
            ({"complete": True}, {"engine-1": 1.5}, "", True),
            ({"faulty": True}, {}, "", False),
            ({}, {}, "edge-1", False),
            ({}, {}, "edge-2", True),
            ({}, {}, "edge-3", False),
            ({}, {}, "engine-1", False),
            ({}, {}, "engine-2", True),
        ],
    )
    def test_cut_of_a_sound_stream_is_not_counted(
        self, fields, ends, disturbed, sound, tmp_path
    ):
        site = Site(tmp_path, 1)
        site.disturbances.append(Disturbance(disturbed, 1.5, 1.8))
        cut = build_answer([1], "broken")
        run = self.build_run(**fields)
        assert is_sound(site, cut, [run], ends, {"edge-1", "edge-3"}) == sound
        later = build_answer([1], "broken", sent_at=3.0, ended_at=4.0)
        assert is_sound(site, later, [run], ends, {"edge-1", "edge-3"}) == (
            sound or bool(disturbed)
        )
        late = build_answer([1], "broken", deadline_s=0.9)
        assert not is_sound(site, late, [run], ends, {"edge-1", "edge-3"})
        faulty = self.build_run(faulty=True)
        assert not is_sound(site, cut, [faulty, run], ends, {"edge-1", "edge-3"})

    @pytest.mark.parametrize(
        ("origin", "sound"), [("", True), ("v1", True), ("v2", False)]
    )
    def test_run_of_another_version_has_to_go_on(self, origin, sound, tmp_path):
        """A stream that was rightly ended would count as cut though sound."""
        site, cut = Site(tmp_path, 1), build_answer([1], "broken")
        run = self.build_run(version="v1")
        assert is_sound(site, cut, [run], {}, {"edge-1"}, origin) == sound

    def test_late_first_heartbeat_hides_a_cut_of_a_sound_stream(self, tmp_path):
        lines = [
            {"what": "run", "id": "r1", "t": 1.0},
            {"what": "announced", "id": "", "t": 1.5},
            {"what": "run", "id": "r2", "t": 2.0},
        ]
        common = {"framing": "close", "faulty": False, "closed_early": False}
        common |= {"service": "talk", "version": "v1"}
        data = b"\n".join(orjson.dumps(common | line) for line in lines)
        (tmp_path / "engine-1.runs").write_bytes(data)
        calls = [
            Call("stream", PROMPT, COUNT, [build_answer([1], "broken", request_id=one)])
            for one in ("r1", "r2")
        ]
        counts = count_calls(Site(tmp_path, 1), calls, read_records(tmp_path))
        assert [one.request_id for one in counts.cut_sound] == ["r2"]
        assert counts.cut_unannounced == 1

    def test_stream_of_an_endpoint_that_never_announced_itself_counts_as_sound(self):
        assert not is_announced(self.build_run(), {"engine-2": 0.5})
        assert is_announced(self.build_run(), {"engine-1": 0.5})


class TestRollouts:
    """Runs from a second after the order, at which the verdict is due at 5 s."""

    def check(self, tmp_path, states, old=100, new=60, late_at=0.0, late_version="v2"):
        site = Site(tmp_path, 1, software_rollouts=LIMITS)
        for version in ("v1", "v2"):
            file = tmp_path / f"{version}.json"
            engine = RunningProgram(
                version, "engine", [], tmp_path, file, 1, "talk", version
            )
            site.engines.append(engine)
        rollout = Rollout(site, "talk", "v2", "v1", 10.0, 100.0)
        rollout.states_read, rollout.verdict_at = states, 105.0
        runs = [Run("r1", "length", False, "v1", 101.0, "talk")] * old
        runs += [Run("r2", "length", False, "v2", 101.0, "talk")] * new
        if late_at:
            runs.append(Run("r3", "length", False, late_version, late_at, "talk"))
        return [violation.kind for violation in rollout.check(runs)]

    def test_sound_rollouts_violate_the_promise(self, tmp_path):
        assert self.check(tmp_path, ["running", "rolled_back"], late_at=106.0) == []
        assert self.check(tmp_path, ["rolled_back"]) == []
        assert self.check(tmp_path, ["running", "completed"], 10, 900) == []
        assert self.check(tmp_path, ["running"]) == []

    def test_planted_fault_of_a_rollout_passes(self, tmp_path):
        assert self.check(tmp_path, ["running", "rolled_back"], 100, 120) == [
            "exposure"
        ]
        for states in (["running", "rolled_back", "completed"], ["running", "404"]):
            assert self.check(tmp_path, states) == ["verdict"]
        for verdict, version in (("rolled_back", "v2"), ("completed", "v1")):
            kinds = self.check(
                tmp_path, ["running", verdict], late_at=108.0, late_version=version
            )
            assert kinds == ["late request"]


def build_model_run(account, began_at, scope="shared", weights=1):
    """Return a run at a service of models, whose request has the account's name."""
    run = Run(account, "length", False, "engine-1", began_at, "chat")
    run.account, run.scope, run.weights = account, scope, weights
    return run


class TestIsolation:
    RUNS = (build_model_run("a", 10.0), build_model_run("b", 20.0))

    def list_violations(self, *isolations, runs=RUNS):
        """Return the accounts whose runs use context of others."""
        site = Site(Path(), 1)
        site.isolations = [
            Isolation(number, frozenset(names), sent_at, acknowledged_at)
            for number, (names, sent_at, acknowledged_at) in enumerate(isolations)
        ]
        return [one.request_id for one in check_isolation(site, list(runs))]

    @pytest.mark.parametrize("isolated", ["a", "b"])
    def test_account_uses_what_another_one_made(self, isolated):
        assert self.list_violations(("", 0, 1), (isolated, 11, 12)) == ["b"]

    def test_accounts_that_share_violate_the_promise(self):
        assert self.list_violations(("ab", 0, 1), ("", 11, 12)) == []

    def test_time_of_a_change_counts(self):
        late_at = 20.0 - ISOLATION_LIMIT_S + 0.1
        assert self.list_violations(("", 0, 1), ("a", 11, late_at)) == []
        assert self.list_violations(("", 0, 1), ("a", 11, float("inf"))) == []

    def test_configuration_that_may_be_in_force_counts(self):
        assert self.list_violations(("a", 0, 1), ("", 19, float("inf"))) == []

    def test_scopes_of_one_account_violate_the_promise(self):
        runs = build_model_run("a", 10.0, "a"), build_model_run("b", 20.0)
        assert self.list_violations(("a", 0, 1), runs=runs) == []


class TestWeights:
    NAMED_AT = 100.0

    def list_violations(self, began_at, *disturbances, weights=1):
        """Return the violations of a run after version 2 was named."""
        site = Site(Path(), 1)
        site.states = [RunningProgram("core-1", "state", [], Path(), Path("c"), 1)]
        site.named_weights = [NamedWeights(2, self.NAMED_AT)]
        site.disturbances = list(disturbances)
        answer = build_answer([1], sent_at=began_at - 0.1)
        run = build_model_run("a", began_at, weights=weights)
        records = Records({answer.request_id: [run]})
        calls = [Call("chat", PROMPT, COUNT, [answer])]
        return [one.kind for one in check_weights(site, calls, records, {})]

    def test_run_begins_on_replaced_weights(self):
        late_at = self.NAMED_AT + WEIGHTS_LIMIT_S + 0.1
        assert self.list_violations(late_at) == ["replaced weights"]
        assert self.list_violations(late_at - 0.2) == []
        assert self.list_violations(late_at, weights=2) == []
        assert self.list_violations(late_at, weights=0) == []

    def test_run_begins_after_a_disturbance(self):
        late_at = self.NAMED_AT + WEIGHTS_LIMIT_S + 0.1
        for record, ago_s in (("c", WEIGHTS_LIMIT_S), ("edge-1", CONTACT_S - 1)):
            at = late_at - ago_s
            assert self.list_violations(late_at, Disturbance(record, at, at)) == []


class TestEngine:
    """A fault that does nothing would find nothing."""

    @pytest.fixture
    def engine(self, tmp_path):
        values = dict.fromkeys(("name", "service", "host", "version"), "")
        values |= dict.fromkeys(("port", "announced_port", "seed"), 0)
        settings = EngineSettings(**values, record_file="", control_urls=[])
        with (tmp_path / "engine.runs").open("wb") as record:
            yield Engine(settings, record.fileno())

    async def test_mute_endpoint_answers(self, engine, autojump_clock):
        stream, _ = trio.testing.memory_stream_pair()
        began_at = trio.current_time()
        engine.begin_trouble("/trouble/mute/1500")
        health = Head("GET /healthz HTTP/1.1", {})
        await engine.answer(EngineConnection(stream), health)
        assert trio.current_time() - began_at >= 1.5

    async def test_late_first_heartbeat_is_sent_at_once(
        self, engine, tmp_path, nursery, monkeypatch, autojump_clock
    ):
        sent_at = []

        async def announce(engine):
            sent_at.append(trio.current_time())
            return len(sent_at) > 1

        monkeypatch.setattr(Engine, "announce", announce)
        engine.settings = evolve(engine.settings, first_heartbeat_s=0.9)
        began_at = trio.current_time()
        nursery.start_soon(engine.announce_steadily)
        await trio.sleep(4 * HEARTBEAT_S)
        nursery.cancel_scope.cancel()
        assert sent_at[0] - began_at >= 0.9
        record = (tmp_path / "engine.runs").read_text()
        assert len(sent_at) > 2 and record.count("announced") == 1

    async def test_endpoint_runs_after_its_deadline(self, engine, nursery):
        listeners = await nursery.start(partial(trio.serve_tcp, engine.serve, 0))
        port = listeners[0].socket.getsockname()[1]
        caller = await trio.open_tcp_stream("127.0.0.1", port)
        headers = {"Request-Id": "r1", "Deadline-Ms": 300, "Content-Length": 0}
        headers["Expect-Instance"] = ""
        await caller.send_all(build_head("POST /stream/c1-1/99 HTTP/1.1", headers))
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(5):
            async for _ in caller:
                pass


class TestTakeUps:
    def count(self, site, *tries, name=NAMED, others=()):
        """Return the counts of a stream, in which all others have to be 0."""
        begun = build_answer([1, 2], "broken")
        call = Call("chat", PROMPT, COUNT, [begun, *tries], is_named=name == NAMED)
        announcements = {"engine-1": 0.5, "engine-2": 2.5}
        counts = count_take_ups(site, [call, *others], announcements)
        own = counts.pop(name)
        assert all(one == TakeUps() for one in counts.values())
        return own

    @pytest.mark.parametrize(
        ("answer", "answered", "refused"),
        [
            (build_answer([], status=503), 0, 1),
            (build_answer([3], "broken"), 1, 0),
            (build_answer([], "broken"), 0, 0),
            (build_answer([], "regular"), 1, 0),
        ],
    )
    def test_stream_that_is_refused_goes_on(self, answer, answered, refused, tmp_path):
        site = Site(tmp_path, 1)
        answer = evolve(answer, last_event_id=2)
        counts = self.count(site, evolve(answer, status=503, events=[]), answer)
        assert (counts.streams, counts.tries) == (1, 2)
        assert (counts.gone_on, counts.answered) == (answered, answered)
        assert counts.refused == 1 + refused

    @pytest.mark.parametrize(
        ("sent_at", "version", "ended_at", "spared"),
        [
            (3.0, "v1", None, 1),
            (3.0, "v2", None, 0),
            (3.0, "v1", 2.9, 0),
            (2.0, "v1", None, 0),
        ],
    )
    def test_endpoint_that_nobody_heard_of_goes_on(
        self, sent_at, version, ended_at, spared, tmp_path
    ):
        site = Site(tmp_path, 1)
        for record in ("engine-1", "engine-2"):
            engine = RunningProgram(
                "", "", [], tmp_path, tmp_path / f"{record}.json", 1, "chat", "v1"
            )
            site.engines.append(engine)
        site.engines[1].version, site.engines[1].ended_at = version, ended_at
        taken_up = build_answer([3], "broken", last_event_id=2, sent_at=sent_at)
        assert self.count(site, taken_up).spared == spared

    @pytest.mark.parametrize(
        ("version", "kind", "name"),
        [
            ("v1", "chat", UNNAMED),
            ("v2", "chat", AMBIGUOUS),
            ("v2", "assist", UNNAMED),
            ("v2", "chat", NAMED),
        ],
    )
    def test_caller_that_names_nothing_counts_as_one_that_does(
        self, version, kind, name, tmp_path
    ):
        line = {"message_type": "request:refused", "status": 503, "request": "r2"}
        data = orjson.dumps(line | {"reason": "Unknown. (service='chat')"})
        (tmp_path / "edge-1.log").write_bytes(data)
        refused = Answer("r2", "edge-1", 3.0, 2, status=503)
        gone_on = build_answer([3], last_event_id=2, sent_at=4.0)
        others = [
            Call(kind, PROMPT, COUNT, [build_answer([1], version=version)]),
            Call(kind, PROMPT, COUNT, [Answer("r4", "edge-1", 1.0, status=503)]),
        ]
        site = Site(tmp_path, 1)
        counts = self.count(site, refused, gone_on, name=name, others=others)
        assert (counts.streams, counts.tries, counts.gone_on) == (1, 2, 1)
        assert counts.reasons == {"Unknown.": 1}

    def test_refusal_has_no_reason(self, tmp_path):
        line = {"message_type": "request:refused", "status": 503, "request": "r1"}
        line["reason"] = "No endpoint is known. (service='chat')"
        data = orjson.dumps(line) + b"\n"
        (tmp_path / "edge-1.log").write_bytes(data + b'{"message_type":"request:refu')
        reasons = read_reasons(tmp_path, {"r1": "edge-1"})
        assert reasons == {"r1": "No endpoint is known."}
        assert read_reasons(tmp_path, {"r1": "edge-2"}) == {}


class TestContents:
    """Without requests of the same content no take-up that names nothing could go on
    with another caller's stream."""

    @pytest.fixture
    def caller(self, tmp_path):
        site = Site(tmp_path, 1, repeated_share=1.0)
        return Caller("c1", site, Random(1), lambda call: None)

    @pytest.mark.parametrize(
        ("ended_s", "repeats"), [(-1.0, True), (9.0, True), (11.0, False)]
    )
    def test_content_of_a_recent_stream_is_not_repeated(self, caller, ended_s, repeats):
        recent = Call("chat", PROMPT, COUNT, [build_answer([1])], is_upload=True)
        recent.ended_at = time.monotonic() - ended_s
        caller.recent.append(recent)
        call = caller.choose_call()
        assert call.answers == [] and call.ended_at > time.monotonic()
        contents = [
            (one.kind, one.prompt, one.count, one.is_upload) for one in (recent, call)
        ]
        assert (len(set(contents)) == 1) == repeats

    def test_most_repeated_streams_have_ended(self, caller):
        """Nobody takes a stream up again after its end."""
        for number in range(9):
            ended = Call("chat", f"c2-{number}", COUNT)
            ended.ended_at = time.monotonic() - 1.0
            caller.recent.append(ended)
        caller.recent.append(Call("chat", PROMPT, COUNT))
        prompts = [caller.choose_call().prompt for _ in range(200)]
        assert prompts.count(PROMPT) > 80 and len(set(prompts)) > 5

    def test_request_that_may_not_run_twice_is_repeated(self, caller):
        caller.recent = []
        for _ in range(50):
            caller.choose_call()
            (call,) = caller.recent or [Call("resumable", "", 1)]
            assert call.kind in ("resumable", "chat")

    def test_take_up_has_another_content(self, caller):
        """The padding of the body was drawn for each request of a call."""
        bodies = set()
        for number in range(100):
            answer = Answer(f"r{number}", "edge-1", 1.0, number, http10=True)
            call = Call("chat", PROMPT, COUNT)
            _, _, body = caller.build_request(call, answer).partition(b"\r\n\r\n")
            bodies.add(body)
        assert len(bodies) == 1

    def test_unnamed_take_up_names_its_request(self, caller):
        for is_named in (True, False):
            call = Call("chat", PROMPT, COUNT, [build_answer([1])], is_named=is_named)
            answer = Answer("r2", "edge-1", 1.0, 1)
            assert (b"Resumes: r1" in caller.build_request(call, answer)) == is_named


class TestHeldHeartbeats:
    @pytest.fixture
    def site(self, tmp_path):
        site = Site(tmp_path, 1, report=lambda text: None)
        site.engines.append(self.build_engine(site, "engine-1"))
        return site

    def build_engine(self, site, record):
        file = site.folder / f"{record}.json"
        return RunningProgram("i-1", "engine", [], site.folder, file, 1)

    async def test_heartbeat_is_lost_with_its_sender(self, site, nursery):
        """Without such heartbeats nothing arrives after the end of its sender."""
        received = trio.Event()

        async def serve(stream):
            assert b"".join([part async for part in stream]) == b"heartbeat"
            received.set()

        (listener,) = await nursery.start(partial(trio.serve_tcp, serve, 0, host=HOST))
        port = listener.socket.getsockname()[1]
        link = FaultProxy(HOST, site.find_engine_port(), port)
        await nursery.start(link.run)
        site.engines[0].control_links = [link]
        with trio.fail_after(5):
            with hold(Faults(site, Random(1)), site.engines[0]):
                sender = await trio.open_tcp_stream(HOST, link.port)
                await sender.send_all(b"heartbeat")
                await sender.aclose()
                await trio.testing.wait_all_tasks_blocked(0.05)
                assert not received.is_set()
            await received.wait()
        nursery.cancel_scope.cancel()

    def test_next_process_behind_a_cut_counts_as_undisturbed(self, site):
        since = time.monotonic()
        with hold(Faults(site, Random(1)), site.engines[0]):
            site.ended_engines.append(site.engines.pop())
            site.engines.append(self.build_engine(site, "engine-2"))
        assert {one.record for one in site.disturbances} == {"engine-1", "engine-2"}
        assert all(since <= one.since < one.until for one in site.disturbances)


async def test_gateway_that_a_reload_ends_passes(tmp_path):
    """Nothing else would show that a signal has ended it."""
    site = Site(tmp_path, 1, gateway_count=1, report=lambda text: None)
    site.build()
    gateway = site.gateways[0]
    gateway.process = subprocess.Popen(["sleep", "9"])
    await Faults(site, Random(1)).reload_gateway()
    gateway.process.wait()
    settings = orjson.loads(gateway.settings_file.read_bytes())
    assert sorted(settings["state_urls"]) == sorted(site.control_urls)
    site.states.clear()
    assert site.list_own_ends() == ["edge-1"]


def test_all_gateways_are_told_of_members_that_join(tmp_path):
    """Then origins could not be told to members by lists that differ."""
    site = Site(tmp_path, 1, state_count=5)
    site.build()
    states = [*site.states, *site.later_states]
    counts = {}
    for program in (*states, *site.gateways):
        settings = orjson.loads(program.settings_file.read_bytes())
        counts[program.name] = len(settings.get("seeds") or settings["state_urls"])
    assert [counts[state.name] for state in states] == [3, 3, 3, 5, 5]
    assert [counts[gateway.name] for gateway in site.gateways] == [3, 5, 3, 5]
    assert site.states == states[:3]


def test_callers_use_a_service_without_endpoints(tmp_path):
    site = Site(tmp_path, 1)
    assert site.choose_routes(["chat", "assist"]) == ["chat"]
    site.engine_counts = dict(WIDE_ENGINES)
    assert site.choose_routes(["chat", "assist"]) == ["chat", "assist"]


def test_endpoint_takes_the_port_of_a_gateway(tmp_path, monkeypatch):
    """A gateway that had not bound its port yet ended with "Address already in use"."""
    site = Site(tmp_path, 1)
    site.build()
    free = iter([[site.gateways[1].port], [1234]])
    monkeypatch.setattr(
        "medlarrail.platform.soak.site.find_free_ports", lambda count, host: next(free)
    )
    assert site.find_engine_port() == 1234
