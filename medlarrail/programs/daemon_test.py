"""Tests of the lines that every program logs."""

import trio
from attrs import frozen

from medlarrail.core.sources import get_source_digest
from medlarrail.programs.daemon import run_program
from medlarrail.testing.logs import collect_messages


@frozen
class Settings:
    name: str


class TestRunProgram:
    def test_start_does_not_tell_which_landing_runs(self):
        """Whether a gateway ran older code could not be found out."""

        async def run(settings):
            await trio.lowlevel.checkpoint()

        with collect_messages("program:started") as started:
            run_program(run, Settings("gateway-1"))
        assert [one["sources"] for one in started] == [get_source_digest()]
