"""Tests of software rollouts at the state members."""

import pytest
import trio
from attrs import evolve

from medlarrail.cluster.cluster_view_server import SETTLE_S
from medlarrail.cluster.software_rollouts import (
    CHECK_INTERVAL_S,
    EVIDENCE_S,
    REPEAT_S,
    RolloutReports,
)
from medlarrail.cluster.state_client import StateClient
from medlarrail.core.codec import decode, encode, from_plain, to_plain
from medlarrail.core.errors import (
    BadField,
    MedlarError,
    NotFound,
    RolloutEnded,
    RolloutInProgress,
    RolloutsNotKnown,
    StorageFull,
)
from medlarrail.core.metrics import get_metrics
from medlarrail.core.software_rollouts import (
    RolloutCounts,
    RolloutReport,
    SoftwareRollout,
    SoftwareRolloutPolicy,
)
from medlarrail.policy.software_rollout import RolloutEvidence, RolloutVerdict
from medlarrail.protocol.cluster_view import (
    CLUSTER_VIEW_PATH,
    ClusterViewAnswer,
    ClusterViewRequest,
)
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.replication import AppendAnswer
from medlarrail.protocol.software_rollouts import (
    REPORTS_PATH,
    ROLLOUTS_PATH,
    RolloutOrder,
)
from medlarrail.state.catalogue import Catalogue, CatalogueImage
from medlarrail.state.operations import Envelope, LogEntry, NoOperation
from medlarrail.testing.builders import build_deployment
from medlarrail.testing.cluster import Cluster
from medlarrail.testing.logs import collect_messages
from medlarrail.testing.view_members import NAMES, ViewMembers

DURATION_S = 20
ORDER = RolloutOrder("guide", "v2", DURATION_S * 1000)
STEP_S = 2 * CHECK_INTERVAL_S
"""Time within which the leader takes a step that is due."""
RUNNING = SoftwareRollout("guide", "v2", 9000, started_ms=1000, replaced=("v1",))


class Rollouts(ViewMembers):
    """State members with rollouts, whose judge gives the verdict that a test sets."""

    def __init__(self, cluster, nursery):
        super().__init__(cluster, nursery, self.prepare_rollouts)
        self.verdict = RolloutVerdict("hold")
        self.evidence: list[RolloutEvidence] = []

    def prepare_rollouts(self, view_server) -> None:
        view_server.rollout_policy = SoftwareRolloutPolicy()
        view_server.software_rollouts.judge = self.judge

    def judge(self, evidence: RolloutEvidence) -> RolloutVerdict:
        self.evidence.append(evidence)
        return self.verdict

    async def get_rollouts(self):
        return (await self.get_leader()).software_rollouts

    async def start_rollout(self, **changes) -> SoftwareRollout:
        return await (await self.get_rollouts()).start(evolve(ORDER, **changes))

    async def read(self) -> SoftwareRollout:
        return await (await self.get_rollouts()).read("guide")

    async def decide(self, action: str) -> SoftwareRollout:
        """Have the judge decide on ``action``, and return the record after it."""
        self.verdict = RolloutVerdict(action, f"evidence for {action}")
        await trio.sleep(STEP_S)
        self.verdict = RolloutVerdict("hold")
        return await self.read()

    async def announce_versions(self, *versions: str) -> None:
        for version in versions:
            await self.announce(version, f"engine-{version}")

    async def list_steps(self) -> list[SoftwareRollout]:
        """Return the distinct records in the log."""
        member = (await self.get_leader()).member
        journal = member.journal
        entries = journal.get_entries(journal.first_index, journal.last_index)
        operations = (entry.envelope.operation for entry in entries)
        records = (
            rollout
            for operation in operations
            if isinstance(operation, NoOperation)
            for rollout in operation.rollouts
        )
        return list(dict.fromkeys(records))

    async def poll(self, entry: str, **changes) -> ClusterViewAnswer:
        """Return the leader's answer to an entry."""
        leader = await self.get_leader()
        request = ClusterViewRequest(entry, f"{entry}:80", "leith", True, wait_s=0.0)
        peers = self.cluster.network.connect(f"mem://{entry}")
        return await peers.call(
            leader.member.url,
            CLUSTER_VIEW_PATH,
            evolve(request, **changes),
            ClusterViewAnswer,
            2.0,
        )


@pytest.fixture
async def members(tmp_path, nursery, autojump_clock):
    started = Rollouts(Cluster(tmp_path, nursery), nursery)
    await started.start()
    await started.announce_versions("v1", "v2")
    await trio.sleep(EVIDENCE_S)
    return started


class TestOrders:
    async def test_repeated_order_starts_another_rollout(self, members, autojump_clock):
        """Also a short time after its end, when an acknowledgement was lost."""
        rollout = await members.start_rollout()
        assert (rollout.state, rollout.stage) == ("running", "trial")
        assert rollout.replaced == ("v1",)
        assert await members.start_rollout(duration_ms=1) == rollout
        ended = await members.decide("roll_back")
        await trio.sleep(REPEAT_S - 5)
        assert await members.start_rollout() == ended
        assert await members.list_steps() == [rollout, ended]
        await trio.sleep(5)
        again = await members.start_rollout()
        assert again.is_running and again.started_ms > ended.started_ms

    async def test_identical_orders_at_once_are_committed_twice(
        self, members, autojump_clock
    ):
        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(members.start_rollout)
        assert len(await members.list_steps()) == 1

    async def test_different_orders_at_once_are_both_accepted(
        self, members, autojump_clock
    ):
        accepted, refused = [], []

        async def order(target):
            try:
                accepted.append(await members.start_rollout(target=target))
            except RolloutInProgress as error:
                refused.append(error.target)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(order, "v2")
            nursery.start_soon(order, "v3")
        assert await members.list_steps() == accepted
        assert refused == [accepted[0].target]

    async def test_acknowledged_before_a_quorum_has_it(self, members, autojump_clock):
        leader = await members.get_leader()
        members.cluster.network.isolate(leader.member.url)
        with pytest.raises(MedlarError):
            await leader.software_rollouts.start(ORDER)
        members.cluster.kill(leader.member.name)
        with pytest.raises(NotFound):
            await members.read()

    async def test_order_is_lost_or_doubled_with_its_leader(
        self, members, autojump_clock
    ):
        """It is killed when a quorum has the order and nothing was acknowledged."""
        leader = await members.get_leader()
        url = leader.member.url
        others = {members.cluster.get_url(name) for name in NAMES} - {url}
        await trio.sleep(SETTLE_S)
        with collect_messages("rollout:step") as steps:
            members.cluster.network.cut.update((other, url) for other in others)
            with trio.move_on_after(0.1) as scope:
                await leader.software_rollouts.start(ORDER)
            assert scope.cancelled_caught
            started = leader.member.journal.get_entries(
                leader.member.journal.last_index, 1
            )[0].envelope.operation.rollouts
            members.cluster.kill(leader.member.name)
            members.cluster.network.clear_cuts()
            resent = await members.start_rollout()
        assert (resent,) == started
        assert await members.list_steps() == [resent]
        assert len(steps) <= 1

    async def test_leader_with_a_full_disk_acknowledges(
        self, members, monkeypatch, autojump_clock
    ):
        """Another member leads then, and takes the order."""
        leader = await members.get_leader()

        journal = type(leader.member.journal)
        append = journal.append

        async def append_elsewhere(self, entries):
            if self is leader.member.journal:
                raise StorageFull()
            return await append(self, entries)

        monkeypatch.setattr(journal, "append", append_elsewhere)
        with pytest.raises(MedlarError):
            await leader.software_rollouts.start(ORDER)
        assert await members.get_leader() is not leader
        assert (await members.start_rollout()).is_running
        assert len(await members.list_steps()) == 1

    async def test_lost_calls_double_orders_and_counts(self, members, autojump_clock):
        """Operators and entries send each call again until it is answered."""
        members.cluster.network.loss_rate = 0.2
        urls = tuple(members.cluster.get_url(name) for name in NAMES)
        answers = []

        def connect(name):
            return StateClient(members.cluster.network.connect(f"mem://{name}"), urls)

        async def order(number):
            answers.append(
                await connect(f"operator-{number}").call_leader(
                    ROLLOUTS_PATH, ORDER, SoftwareRollout, DURATION_S
                )
            )

        async def report(number):
            client = connect(f"g{number}")
            for sent in (10, 20, 30):
                report = build_report(
                    f"g{number}", sent=sent, started_ms=answers[0].started_ms
                )
                await client.call_leader(REPORTS_PATH, report, EmptyMessage, DURATION_S)

        for start in (order, report):
            async with trio.open_nursery() as nursery:
                for number in range(5):
                    nursery.start_soon(start, number)
        members.cluster.network.loss_rate = 0.0
        members.evidence.clear()
        await trio.sleep(STEP_S)
        assert await members.list_steps() == [answers[0]]
        assert set(answers) == {answers[0]}
        assert members.evidence[-1].counts[0].answers == 5 * 30

    async def test_rollout_is_lost_when_all_members_restart(
        self, members, autojump_clock
    ):
        await members.start_rollout()
        expanded = await members.decide("expand")
        await members.restart_all()
        assert await members.read() == expanded
        assert await members.start_rollout() == expanded

    async def test_order_is_logged_as_found_by_a_new_leader(
        self, members, autojump_clock
    ):
        """It was committed and logged twice by the leader that accepted it."""
        with collect_messages("rollout:resumed") as resumed:
            await members.start_rollout()
            await trio.sleep(STEP_S)
            assert resumed == []
            await members.replace_leader()
            await members.read()
            await trio.sleep(STEP_S)
            assert [item["state"] for item in resumed] == ["running"]

    @pytest.mark.parametrize("announced", [(), ("v2",)])
    async def test_versions_that_serve_are_not_known_at_the_first_start(
        self, announced, tmp_path, nursery, autojump_clock
    ):
        """Endpoints announce themselves after the order: the replaced version would
        not be counted, and serve on after the completion."""
        members = Rollouts(Cluster(tmp_path, nursery), nursery)
        await members.start()
        leader = await members.get_leader()
        await leader.replace_deployment(build_deployment())
        await members.announce_versions(*announced)
        started = []

        async def order() -> None:
            started.append(await members.start_rollout())

        nursery.start_soon(order)
        await trio.sleep(1)
        await members.announce_versions("v1")
        await trio.sleep(1)
        assert [(item.replaced, item.state) for item in started] == [
            (("v1",), "running")
        ]

    async def test_target_that_serves_alone_is_taken_out_of_use(
        self, tmp_path, nursery, autojump_clock
    ):
        """No evidence would compare it with another version by the deadline."""
        members = Rollouts(Cluster(tmp_path, nursery), nursery)
        await members.start()
        await members.announce_versions("v2")
        assert (await members.start_rollout()).state == "completed"
        assert not (await members.read()).excludes("v2")

    async def test_versions_out_of_use_serve_again_in_the_next_rollout(
        self, members, autojump_clock
    ):
        """Their endpoints still announce themselves while they drain."""
        await members.start_rollout()
        await members.decide("roll_back")
        await members.announce_versions("v3")
        third = await members.start_rollout(target="v3")
        assert (third.replaced, third.excluded) == (("v1",), ("v2",))
        completed = await members.decide("complete")
        assert [completed.excludes(f"v{n}") for n in (1, 2, 3)] == [True, True, False]
        back = await members.start_rollout(target="v1")
        assert (back.replaced, back.excluded) == (("v3",), ("v2",))

    async def test_endpoints_without_a_version_are_not_replaced(
        self, members, autojump_clock
    ):
        await members.announce("", "engine-old")
        assert (await members.start_rollout()).replaced == ("v1", "")

    async def test_unknown_service_gets_a_rollout(self, members, autojump_clock):
        await trio.sleep(SETTLE_S + 1)
        with pytest.raises(NotFound):
            await members.start_rollout(service="other")
        leader = await members.get_leader()
        await leader.replace_deployment(build_deployment())
        assert (await members.start_rollout()).is_running

    async def test_rollout_starts_without_settings(self, members, autojump_clock):
        leader = await members.get_leader()
        leader.rollout_policy = None
        with pytest.raises(NotFound):
            await members.start_rollout()
        with pytest.raises(NotFound):
            await members.read()

    @pytest.mark.parametrize(
        "changes", [{"service": ""}, {"target": ""}, {"duration_ms": 0}]
    )
    async def test_invalid_order_is_accepted(self, changes, members, autojump_clock):
        with pytest.raises(BadField):
            await members.start_rollout(**changes)


class TestOlderVoters:
    async def make_follower_older(self, members, monkeypatch):
        """Have a follower answer as one of the version before, and return it."""
        leader = await members.get_leader()
        older = next(
            server for server in members.view_servers.values() if server is not leader
        ).member
        answer = type(older)._answer_leader

        def answer_as_older(member, taken, last_index):
            if member is older:
                return AppendAnswer(member.term, taken, last_index)
            return answer(member, taken, last_index)

        monkeypatch.setattr(type(older), "_answer_leader", answer_as_older)
        await trio.sleep(1)
        return older

    async def test_order_is_accepted_beside_a_voter_that_ignores_it(
        self, members, monkeypatch, autojump_clock
    ):
        older = await self.make_follower_older(members, monkeypatch)
        with pytest.raises(RolloutsNotKnown) as caught:
            await members.start_rollout()
        assert (caught.value.member, caught.value.status) == (older.name, 503)
        assert not await members.list_steps()

    @pytest.mark.parametrize("replaces_leader", [False, True])
    async def test_upgraded_voter_lacks_the_record(
        self, replaces_leader, members, monkeypatch, autojump_clock
    ):
        """It did not run when the order was accepted, and ignored it later."""
        rollout = await members.start_rollout()
        await trio.sleep(STEP_S)
        older = await self.make_follower_older(members, monkeypatch)
        older.catalogue.software_rollouts.clear()
        monkeypatch.undo()
        if replaces_leader:
            await members.replace_leader()
        await trio.sleep(1 + STEP_S)
        await members.cluster.wait_all_applied()
        assert older.catalogue.software_rollouts == {"guide": rollout}
        assert await members.list_steps() == [rollout]

    async def test_voter_that_is_down_prevents_rollouts(self, members, autojump_clock):
        """It may come back as any version; a day with faults often lacks one voter."""
        leader = await members.get_leader()
        members.cluster.kill(leader.member.name)
        assert (await members.start_rollout()).is_running


class TestSteps:
    async def test_verdict_changes(self, members, autojump_clock):
        with collect_messages("rollout:step") as steps:
            await members.start_rollout()
            await members.decide("expand")
            completed = await members.decide("complete")
            assert (completed.state, completed.stage) == ("completed", "full")
            assert await members.decide("roll_back") == completed
            with pytest.raises(RolloutEnded):
                await (await members.get_rollouts()).roll_back("guide")
            await trio.sleep(DURATION_S)
            await members.restart_all()
            assert await members.read() == completed
        assert [step["step"] for step in steps] == ["trial", "full", "completed"]
        assert steps[-1]["reason"] == "evidence for complete"
        count = get_metrics().get_count
        assert count("rollout_steps", service="guide", version="v2") >= 3

    async def test_two_verdicts_at_once_both_stand(self, members, autojump_clock):
        """The judge completes while an operator rolls back."""
        rollout = await members.start_rollout()
        member = (await members.get_leader()).member
        steps = [evolve(rollout, state=s) for s in ("rolled_back", "completed")]
        async with trio.open_nursery() as nursery:
            for step in steps:
                operation = NoOperation(rollouts=(step,))
                nursery.start_soon(member.propose, Envelope(operation))
        first = (await members.list_steps())[1]
        await members.cluster.wait_all_applied()
        for server in members.view_servers.values():
            assert server.member.catalogue.software_rollouts["guide"] == first

    async def test_operator_cannot_roll_back(self, members, autojump_clock):
        await members.start_rollout()
        rollouts = await members.get_rollouts()
        ended = await rollouts.roll_back("guide")
        assert ended.state == "rolled_back"
        assert await rollouts.roll_back("guide") == ended

    @pytest.mark.parametrize("restarts", [False, True])
    async def test_rollout_without_a_verdict_goes_on_after_the_deadline(
        self, restarts, members, autojump_clock
    ):
        await members.start_rollout()
        await members.decide("expand")
        if restarts:
            await members.restart_all(pause_s=DURATION_S)
            await members.get_leader()
        else:
            await trio.sleep(DURATION_S - 2)
            assert (await members.read()).is_running
            await trio.sleep(2)
        await trio.sleep(STEP_S)
        assert (await members.read()).state == "rolled_back"

    async def test_failure_of_the_judge_ends_the_leader(self, members, autojump_clock):
        """Its successor would fail in the same way, and then the next one."""
        await members.start_rollout()
        rollouts = await members.get_rollouts()

        def fail(evidence):
            raise ZeroDivisionError

        rollouts.judge = fail
        with collect_messages("rollout:not-judged") as failures:
            await trio.sleep(DURATION_S + STEP_S)
        assert (await members.read()).state == "rolled_back"
        assert await members.get_rollouts() is rollouts
        assert len(failures) == 1

    async def test_judge_decides_before_a_new_leader_has_the_reports(
        self, members, autojump_clock
    ):
        await members.start_rollout()
        await members.replace_leader()
        members.evidence.clear()
        leadership = (await members.get_leader()).member.leadership
        while not members.evidence:
            await trio.sleep(0.01)
        assert trio.current_time() - leadership.elected_at >= EVIDENCE_S


def build_report(entry="g1", epoch=1, sent=10, **changes) -> RolloutReport:
    counts = (
        RolloutCounts("ask", False, sent, sent // 10, (sent, 1)),
        RolloutCounts("ask", True, 1),
    )
    report = RolloutReport(entry, epoch, "guide", 1000, "trial", sent, 1, 0, counts)
    return evolve(report, **changes)


class TestReports:
    def test_lost_repeated_or_late_report_changes_the_sums(self):
        received = (
            build_report(sent=10),
            build_report(sent=30),
            build_report(sent=30),
            build_report(sent=20),
            build_report("g2", sent=10),
        )
        reports = RolloutReports()
        for report in received:
            reports.add(report)
        expected = (
            RolloutCounts("ask", False, 40, 4, (40, 2)),
            RolloutCounts("ask", True, 2),
        )
        assert reports.sum_counts() == expected

    def test_restart_of_an_entry_drops_what_it_reported(self):
        reports = RolloutReports()
        reports.add(build_report(epoch=1, sent=30))
        reports.add(build_report(epoch=2, sent=10))
        reports.add(build_report(epoch=1, sent=20))
        assert reports.sum_counts()[0].answers == 40
        assert reports.find_latest("g1").epoch == 2

    async def test_judge_lacks_the_reports_of_entries(self, members, autojump_clock):
        started_ms = (await members.start_rollout()).started_ms
        rollouts = await members.get_rollouts()
        rollouts.record_report(build_report(started_ms=started_ms))
        rollouts.record_report(build_report("g2", started_ms=started_ms))
        rollouts.record_report(build_report("g3", started_ms=started_ms - 1))
        await trio.sleep(2)
        evidence = members.evidence[-1]
        assert evidence.counts[0].answers == 20
        assert evidence.duration_s == DURATION_S
        assert 0 < evidence.stage_s <= evidence.elapsed_s < DURATION_S

    async def test_requests_are_taken_for_ended_before_entries_applied_the_stage(
        self, members, autojump_clock
    ):
        started_ms = (await members.start_rollout()).started_ms
        await members.decide("expand")
        rollouts = await members.get_rollouts()
        applied = build_report(
            stage="full", in_flight_replaced=3, started_ms=started_ms
        )
        older = build_report("g2", started_ms=started_ms)
        in_flight = []
        await trio.sleep(SETTLE_S)
        later = evolve(applied, entry="g2", in_flight_replaced=0)
        for report in (applied, older, later):
            for entry in ("g1", "g2"):
                await members.poll(entry)
            rollouts.record_report(report)
            await trio.sleep(STEP_S)
            in_flight.append(members.evidence[-1].in_flight_replaced)
        assert in_flight == [None, None, 3]


class TestListing:
    async def test_order_reaches_entries_with_their_next_poll(
        self, members, autojump_clock
    ):
        """They have to limit the target from the order on."""
        answer = await members.poll("g1", knows_rollouts=True)
        await trio.sleep(SETTLE_S)
        known = {
            "epoch": answer.epoch,
            "endpoints_seen": 99,
            "entries_seen": 99,
            "configuration_seen": answer.configuration_index,
        }
        async with trio.open_nursery() as nursery:
            nursery.start_soon(members.start_rollout)
            with trio.fail_after(0.1):
                held = await members.poll("g1", wait_s=1.0, **known)
        assert held.rollouts == (await members.read(),)

    async def list_names(self, members, **changes):
        answer = await members.poll("g1", **changes)
        return {item.announced.name for item in answer.endpoints}

    @pytest.mark.parametrize(
        ("action", "older", "newer"),
        [
            ("expand", {"v1"}, {"v1", "v2"}),
            ("complete", {"v2"}, {"v2"}),
            ("roll_back", {"v1"}, {"v1"}),
        ],
    )
    async def test_endpoints_are_listed_to_entries_that_may_not_use_them(
        self, action, older, newer, members, autojump_clock
    ):
        await members.start_rollout()
        names = {False: {"engine-v1"}, True: {"engine-v1", "engine-v2"}}
        for knows, expected in names.items():
            listed = await self.list_names(members, knows_rollouts=knows)
            assert listed == expected
        await members.decide(action)
        for knows, versions in ((False, older), (True, newer)):
            listed = await self.list_names(members, knows_rollouts=knows)
            assert listed == {f"engine-{version}" for version in versions}

    @pytest.mark.parametrize("knows", [False, True])
    async def test_entry_keeps_what_it_was_listed_before_a_step(
        self, knows, members, autojump_clock
    ):
        """Each answer after the first lists changes only."""
        view = set()
        seen = {}
        expected = {
            "start": {"engine-v1"} | ({"engine-v2"} if knows else set()),
            "roll_back": {"engine-v1"},
        }

        async def update():
            answer = await members.poll("g1", knows_rollouts=knows, **seen)
            view.difference_update(answer.departed)
            view.update(item.announced.name for item in answer.endpoints)
            seen.update(
                epoch=answer.epoch,
                endpoints_seen=answer.endpoints_revision,
                configuration_seen=answer.configuration_index,
            )
            return answer

        await update()
        assert view == {"engine-v1", "engine-v2"}
        await members.start_rollout()
        assert (await update()).rollouts is not None
        assert view == expected["start"]
        ended = await members.decide("roll_back")
        assert (await update()).rollouts == (ended,)
        assert view == expected["roll_back"]
        assert (await update()).rollouts is None


class TestLog:
    @pytest.mark.parametrize(
        ("current", "changes", "is_taken"),
        [
            ({}, {"stage": "full"}, True),
            ({}, {"state": "rolled_back"}, True),
            ({}, {"started_ms": 2000}, False),
            ({}, {"state": "completed", "target": "v3"}, False),
            ({"stage": "full"}, {}, False),
            ({"state": "rolled_back"}, {"stage": "full"}, False),
            ({"state": "rolled_back"}, {"state": "completed", "stage": "full"}, False),
            ({"state": "completed"}, {"state": "rolled_back"}, False),
            ({"state": "completed"}, {"started_ms": 2000}, True),
            ({"state": "completed"}, {"started_ms": 500}, False),
        ],
    )
    def test_log_takes_a_step_that_it_must_ignore(self, current, changes, is_taken):
        catalogue = Catalogue()
        first, second = evolve(RUNNING, **current), evolve(RUNNING, **changes)
        catalogue.apply(1, Envelope(NoOperation(rollouts=(first,))))
        catalogue.apply(2, Envelope(NoOperation(rollouts=(second,))))
        expected = second if is_taken else first
        assert catalogue.software_rollouts == {"guide": expected}

    def test_rollouts_are_left_out_of_a_snapshot(self):
        catalogue = Catalogue()
        catalogue.apply(1, Envelope(NoOperation(rollouts=(RUNNING,))))
        image = decode(encode(catalogue.get_image()), CatalogueImage)
        restored = Catalogue.from_image(image)
        assert restored.software_rollouts == {"guide": RUNNING}

    def test_snapshot_and_log_of_the_release_before_do_not_load(self):
        image = to_plain(Catalogue().get_image())
        assert image.pop("software_rollouts") == []
        assert not Catalogue.from_image(
            from_plain(image, CatalogueImage)
        ).software_rollouts
        entry = to_plain(LogEntry(1, 1, Envelope(NoOperation())))
        del entry["envelope"]["operation"]["rollouts"]
        assert from_plain(entry, LogEntry).envelope.operation == NoOperation()

    def test_rollouts_stop_an_older_member(self):
        """It reads the operation as one without them, since it ignores the field."""
        operation = NoOperation(rollouts=(RUNNING,))
        plain = to_plain(LogEntry(1, 1, Envelope(operation)))
        fields = plain["envelope"]["operation"]
        fields["field_of_a_later_version"] = fields.pop("rollouts")
        assert from_plain(plain, LogEntry).envelope.operation == NoOperation()

    async def test_member_with_a_snapshot_lacks_the_rollout(
        self, tmp_path, nursery, autojump_clock
    ):
        cluster = Cluster(tmp_path, nursery, snapshot_interval_entries=20)
        members = Rollouts(cluster, nursery)
        await members.start()
        await members.announce_versions("v1", "v2")
        await members.start_rollout()
        ended = await members.decide("roll_back")
        member = (await members.get_leader()).member
        for _ in range(60):
            await member.propose(Envelope(NoOperation()))
        assert member.journal.first_index > 20
        await members.restart_all()
        assert await members.read() == ended
