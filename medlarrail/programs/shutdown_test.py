"""Tests that graceful shutdowns do not interrupt in-flight requests."""

import pytest
import trio

from medlarrail.core.timing import OUT_OF_SERVICE_BOUND_S
from medlarrail.standins.engine import make_answer
from medlarrail.testing.caller import Caller
from medlarrail.testing.deployment import MODEL, Layout
from medlarrail.testing.processes import run_deployment

LONG_ANSWER_TOKENS = 400
"""Number of tokens in a stream that takes about 5 s."""


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    layout = Layout(states=3, entries=3, stores=1, engines=2, services=1)
    with run_deployment(tmp_path_factory.mktemp("deployment"), layout) as processes:
        yield processes


@pytest.fixture(scope="module")
def key(processes):
    return trio.run(processes.add_contract, "lea-college")


async def stream_during(processes, key, stop):
    """Stream a long answer through entry-2 while ``stop`` runs; return the result."""
    url = processes.deployment.find("entry-2").url
    caller = Caller(key, [url])
    results = []

    async def stream():
        results.append(
            await caller.ask(MODEL, "a long answer", LONG_ANSWER_TOKENS, url)
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(stream)
        with trio.fail_after(10):
            while not (await processes.fetch_entry(url)).held_permits:
                assert not results, results[0].error
                await trio.sleep(0.02)
        await stop()
    return results[0]


async def find_serving_engine(processes):
    """Return the name of the engine that runs a request, once there is one.

    A held permit is not enough: the request may still be on its way to the engine.
    """
    with trio.fail_after(10):
        while True:
            for process in processes.deployment.processes:
                if process.role == "engine":
                    stats = await processes.fetch_backend(process.url)
                    if stats.running:
                        return process.name
            await trio.sleep(0.02)


def is_complete(result):
    return result.complete and result.text == make_answer(
        "a long answer", "v1", LONG_ANSWER_TOKENS
    )


class TestShutdown:
    async def test_a_stopping_entry_completes_its_stream(self, processes, key):
        async def stop():
            assert await processes.stop("entry-2") == 0

        assert is_complete(await stream_during(processes, key, stop))
        processes.start("entry-2")
        await processes.wait_ready()

    async def test_the_owner_of_the_engine_may_stop(self, processes, key):
        async def stop():
            for name in ("entry-1", "entry-3"):
                assert await processes.stop(name) == 0

        assert is_complete(await stream_during(processes, key, stop))
        processes.start("entry-1")
        processes.start("entry-3")
        await processes.wait_ready()

    async def test_state_members_and_stores_may_restart_one_by_one(
        self, processes, key
    ):
        async def stop():
            for name in ("state-1", "state-2", "state-3", "store-1"):
                assert await processes.stop(name) == 0
                processes.start(name)
                await processes.wait_answer(processes.deployment.find(name).url)

        assert is_complete(await stream_during(processes, key, stop))
        await processes.wait_ready()

    async def test_a_stopping_engine_completes_its_requests_and_gets_no_more(
        self, processes, key
    ):
        caller = Caller(key, processes.deployment.list_urls("entry"))

        async def stop():
            engine = await find_serving_engine(processes)
            with trio.fail_after(OUT_OF_SERVICE_BOUND_S + 20):
                assert await processes.stop(engine) == 0
            for number in range(5):
                result = await caller.ask(MODEL, f"after {number}", 2)
                assert result.complete, result.error

        assert is_complete(await stream_during(processes, key, stop))
