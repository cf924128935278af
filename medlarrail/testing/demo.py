"""The steps of ``make demo`` that act as a caller.

Each step prints what it observed, and exits with 1 if that is not as expected.
"""

import os
import signal
import sys
from pathlib import Path

import trio
import typer
from attrs import define

from medlarrail.core.errors import MedlarError
from medlarrail.core.timing import OUT_OF_SERVICE_BOUND_S
from medlarrail.protocol.contexts import STORE_STATUS_PATH, StoreStatus
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.endpoints import CACHE_KEYS_PATH, CacheKeys
from medlarrail.standins.engine import make_answer
from medlarrail.standins.service import Receipt
from medlarrail.testing.caller import Caller, PromptResult, read_receipt
from medlarrail.testing.deployment import (
    MODEL,
    SERVICE,
    Deployment,
    read_deployment,
)
from medlarrail.testing.processes import Processes

PROMPT_COUNT = 4
CONTEXT_WORDS = 400
ANSWER_TOKENS = 16
LONG_ANSWER_TOKENS = 300
WAIT_LIMIT_S = 20.0
POLL_S = 0.1


class CheckFailed(Exception):
    """The demo did not observe the expected behaviour."""


def check(condition: bool, what: str) -> None:
    """Print the observation ``what``, or raise ``CheckFailed``."""
    if not condition:
        raise CheckFailed(what)
    typer.echo(f"  seen: {what}")


def make_prompt(number: int) -> str:
    """Return a long prompt that is unique for ``number``."""
    words = [f"guest-{number}-{place}" for place in range(CONTEXT_WORDS)]
    return " ".join(words)


@define
class Demo:
    """The steps, run against a running deployment."""

    deployment: Deployment
    processes: Processes
    caller: Caller

    async def ask(self, prompt: str, count: int = ANSWER_TOKENS) -> PromptResult:
        """Send a prompt and check that its answer is complete and correct."""
        result = await self.caller.ask(MODEL, prompt, count)
        if not result.complete or result.text != make_answer(prompt, "v1", count):
            raise CheckFailed(f"incomplete or wrong answer: {result.error}")
        return result

    async def show_first(self) -> None:
        """Prompts are answered, and their contexts are copied to the stores."""
        times = []
        for number in range(PROMPT_COUNT):
            result = await self.ask(make_prompt(number))
            times.append(result.first_token_s)
        check(True, f"{PROMPT_COUNT} prompts, first token within {max(times):.3f} s")
        await self.wait(self.are_contexts_stored, "contexts held by the stores")

    async def are_contexts_stored(self) -> bool:
        """Return whether every store holds all contexts."""
        extent_counts = []
        for url in self.deployment.list_urls("store"):
            status = await self.processes.client.call(
                url, STORE_STATUS_PATH, EmptyMessage(), StoreStatus, 2.0
            )
            extent_counts.append(status.extents)
        return min(extent_counts) >= PROMPT_COUNT

    async def wait(self, is_met, what: str) -> None:
        """Wait until a condition holds, or raise ``CheckFailed``."""
        with trio.move_on_after(WAIT_LIMIT_S):
            while not await is_met():
                await trio.sleep(POLL_S)
            check(True, what)
            return
        raise CheckFailed(what)

    async def show_gap(self) -> None:
        """Other prompts evict the contexts from the engines' caches."""
        before = await self.list_cached()
        number = 1000
        with trio.move_on_after(WAIT_LIMIT_S):
            while before & await self.list_cached():
                await self.ask(make_prompt(number))
                number += 1
        evicted = before - await self.list_cached()
        check(
            evicted == before, f"{len(evicted)} blocks evicted from the engines' caches"
        )

    async def list_cached(self) -> set[str]:
        """Return the keys of all blocks in the engines' caches."""
        block_keys: set[str] = set()
        for url in self.deployment.list_urls("engine"):
            keys = await self.processes.client.call(
                url, CACHE_KEYS_PATH, EmptyMessage(), CacheKeys, 2.0
            )
            block_keys.update(keys.keys)
        return block_keys

    async def show_return(self) -> None:
        """The same prompts are sent again and reuse their contexts."""
        prompt_tokens = cached_tokens = 0
        times = []
        for number in range(PROMPT_COUNT):
            result = await self.ask(make_prompt(number))
            times.append(result.first_token_s)
            prompt_tokens += result.prompt_tokens
            cached_tokens += result.cached_tokens
        share = cached_tokens / max(1, prompt_tokens)
        check(
            share > 0.5,
            f"{PROMPT_COUNT} prompts resent, {share:.0%} of their context was reused, "
            f"first token within {max(times):.3f} s",
        )

    async def show_purchase(self) -> None:
        """Three purchases of a seat with one idempotency key run once."""
        receipts = []
        for url in [*self.deployment.list_urls("entry"), ""]:
            answer = await self.caller.buy(f"{SERVICE}/purchase", "seat-12", url)
            if answer.status != 200:
                raise CheckFailed(f"purchase answered {answer.status}")
            receipts.append(read_receipt(answer, Receipt))
        stats = await self.processes.fetch_backend(
            self.deployment.list_urls("service")[0]
        )
        runs = {record.key: record.runs for record in stats.runs}
        receipts_match = all(receipt == receipts[0] for receipt in receipts)
        check(
            runs.get("seat-12") == 1 and receipts_match,
            f"{len(receipts)} purchases with one key, run {runs['seat-12']} time",
        )

    async def show_out(self) -> None:
        """A data centre that is out of service gets no new work."""
        await trio.sleep(OUT_OF_SERVICE_BOUND_S)
        engine = self.deployment.find("engine-2").url
        before = await self.processes.fetch_backend(engine)
        for number in range(8):
            await self.ask(make_prompt(2000 + number))
        after = await self.processes.fetch_backend(engine)
        check(before.runs == after.runs, "8 prompts, none of them at perth")

    async def show_in(self) -> None:
        """A data centre that is back in service gets work."""
        engine = self.deployment.find("engine-2").url
        before = await self.processes.fetch_backend(engine)
        number = 3000

        async def is_used() -> bool:
            nonlocal number
            await self.ask(make_prompt(number))
            number += 1
            after = await self.processes.fetch_backend(engine)
            return len(after.runs) > len(before.runs)

        await self.wait(is_used, "perth serves again")

    async def show_drain(self) -> None:
        """An entry that shuts down completes its open stream first."""
        folder = Path(self.deployment.folder)
        pid = int((folder / "entry-1.pid").read_text())
        url = self.deployment.find("entry-1").url
        prompt = make_prompt(4000)
        results: list[PromptResult] = []

        async def stream() -> None:
            results.append(
                await self.caller.ask(MODEL, prompt, LONG_ANSWER_TOKENS, url)
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stream)
            await self.wait_running(url)
            os.kill(pid, signal.SIGTERM)
        expected = make_answer(prompt, "v1", LONG_ANSWER_TOKENS)
        check(
            results[0].complete and results[0].text == expected,
            f"stream of {LONG_ANSWER_TOKENS} tokens complete despite a shutdown",
        )

    async def wait_running(self, url: str) -> None:
        """Return once an entry holds a permit."""
        with trio.fail_after(WAIT_LIMIT_S):
            while not (await self.processes.fetch_entry(url)).held_permits:
                await trio.sleep(POLL_S / 10)


async def run_step(folder: Path, key: str, step: str) -> None:
    """Run one step."""
    deployment = read_deployment(folder)
    processes = Processes(deployment)
    if step == "ready":
        await processes.wait_ready()
        return
    caller = Caller(key, deployment.list_urls("entry"))
    demo = Demo(deployment, processes, caller)
    await getattr(demo, f"show_{step}")()


def main(folder: Path, step: str, key: str = "") -> None:
    """Run one step; if it fails, print the reason and exit with 1."""
    try:
        trio.run(run_step, folder, key, step)
    except (CheckFailed, MedlarError, trio.TooSlowError) as error:
        typer.echo(f"  FAILED {step}: {type(error).__name__} {error}")
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
