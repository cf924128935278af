"""The callers' side of ``make demo``: one step for each thing that it shows.

Each step prints what was seen and exits with 1 where it is not as promised.
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
from medlarrail.protocol.control import Nothing
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

PROMPTS = 4
CONTEXT_WORDS = 400
ANSWER_TOKENS = 16
LONG_ANSWER_TOKENS = 300
WAIT_LIMIT_S = 20.0
POLL_S = 0.1


class CheckFailed(Exception):
    """The demo did not see what it promises."""


def check(condition: bool, what: str) -> None:
    """Print what was seen, or fail."""
    if not condition:
        raise CheckFailed(what)
    typer.echo(f"  seen: {what}")


def make_prompt(number: int) -> str:
    """Return a long prompt of its own."""
    words = [f"guest-{number}-{place}" for place in range(CONTEXT_WORDS)]
    return " ".join(words)


@define
class Demo:
    """The steps, against one running deployment."""

    deployment: Deployment
    processes: Processes
    caller: Caller

    async def ask(self, prompt: str, count: int = ANSWER_TOKENS) -> PromptResult:
        """Send a prompt and check that its answer is whole and its own."""
        result = await self.caller.ask(MODEL, prompt, count)
        if not result.whole or result.text != make_answer(prompt, "v1", count):
            raise CheckFailed(f"answer is not whole: {result.error}")
        return result

    async def show_first(self) -> None:
        """Prompts are answered, and their contexts come to the stores."""
        times = []
        for number in range(PROMPTS):
            result = await self.ask(make_prompt(number))
            times.append(result.first_token_s)
        check(True, f"{PROMPTS} prompts, first token within {max(times):.3f} s")
        await self.wait(self.are_contexts_kept, "contexts kept by the stores")

    async def are_contexts_kept(self) -> bool:
        """Return whether both stores hold every context."""
        held = []
        for url in self.deployment.list_urls("store"):
            status = await self.processes.client.call(
                url, STORE_STATUS_PATH, Nothing(), StoreStatus, 2.0
            )
            held.append(status.extents)
        return min(held) >= PROMPTS

    async def wait(self, condition, what: str) -> None:
        """Wait until a condition holds."""
        with trio.move_on_after(WAIT_LIMIT_S):
            while not await condition():
                await trio.sleep(POLL_S)
            check(True, what)
            return
        raise CheckFailed(what)

    async def show_gap(self) -> None:
        """Other prompts push the contexts out of the engines' caches."""
        before = await self.list_cached()
        number = 1000
        with trio.move_on_after(WAIT_LIMIT_S):
            while before & await self.list_cached():
                await self.ask(make_prompt(number))
                number += 1
        lost = before - await self.list_cached()
        check(lost == before, f"{len(lost)} blocks gone from the engines' caches")

    async def list_cached(self) -> set[str]:
        """Return the blocks in the engines' caches."""
        found: set[str] = set()
        for url in self.deployment.list_urls("engine"):
            keys = await self.processes.client.call(
                url, CACHE_KEYS_PATH, Nothing(), CacheKeys, 2.0
            )
            found.update(keys.keys)
        return found

    async def show_return(self) -> None:
        """The same prompts return and reuse their contexts."""
        prompt_tokens = cached_tokens = 0
        times = []
        for number in range(PROMPTS):
            result = await self.ask(make_prompt(number))
            times.append(result.first_token_s)
            prompt_tokens += result.prompt_tokens
            cached_tokens += result.cached_tokens
        share = cached_tokens / max(1, prompt_tokens)
        check(
            share > 0.5,
            f"{PROMPTS} prompts came back, {share:.0%} of their context was reused, "
            f"first token within {max(times):.3f} s",
        )

    async def show_purchase(self) -> None:
        """A seat bought three times under one key is bought once."""
        receipts = []
        for url in [*self.deployment.list_urls("entry"), ""]:
            answer = await self.caller.buy(f"{SERVICE}/purchase", "seat-12", url)
            if answer.status != 200:
                raise CheckFailed(f"purchase answered {answer.status}")
            receipts.append(read_receipt(answer, Receipt))
        stats = await self.processes.fetch_backend(
            self.deployment.list_urls("service")[0]
        )
        runs = {one.key: one.runs for one in stats.runs}
        same = all(one == receipts[0] for one in receipts)
        check(
            runs.get("seat-12") == 1 and same,
            f"{len(receipts)} purchases under one key, run {runs['seat-12']} time",
        )

    async def show_out(self) -> None:
        """A data centre that is out gets no new work."""
        await trio.sleep(OUT_OF_SERVICE_BOUND_S)
        engine = self.deployment.find("engine-2").url
        before = await self.processes.fetch_backend(engine)
        for number in range(8):
            await self.ask(make_prompt(2000 + number))
        after = await self.processes.fetch_backend(engine)
        check(before.runs == after.runs, "8 prompts, none of them at perth")

    async def show_in(self) -> None:
        """A data centre that is in again gets work."""
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
        """An entry that shuts down ends its open stream first."""
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
        whole = make_answer(prompt, "v1", LONG_ANSWER_TOKENS)
        check(
            results[0].whole and results[0].text == whole,
            f"stream of {LONG_ANSWER_TOKENS} tokens whole through a shutdown",
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
    """Run one step; exits with 1 and the reason where it fails."""
    try:
        trio.run(run_step, folder, key, step)
    except (CheckFailed, MedlarError, trio.TooSlowError) as error:
        typer.echo(f"  FAILED {step}: {type(error).__name__} {error}")
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
