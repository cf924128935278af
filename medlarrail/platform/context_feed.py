"""The platform's lists and events of what stores hold."""

from typing import Any

import orjson
from attrs import define

from medlarrail.cluster.context_feed import (
    HeldEvent,
    HeldEvents,
    HeldList,
    HeldPart,
)
from medlarrail.core.codec import parse_json
from medlarrail.core.errors import BadJson, PeerBroken
from medlarrail.transport.client import HttpClient

LIST_TIMEOUT_S = 1.5


@define
class PlatformContextFeed:
    """See ``medlarrail.cluster.context_feed.ContextFeed``."""

    client: HttpClient

    async def read_list(self, address: str) -> HeldList:
        """Return all that a store holds; raises ``PeerBroken`` for nonsense."""
        url = f"http://{address}/kv-list"
        answer = await self.client.fetch("GET", url, timeout_s=LIST_TIMEOUT_S)
        try:
            plain = _read_plain(answer, url)
            partial = plain.get("partial") or ()
            return HeldList(
                epoch=str(plain["boot-epoch"]),
                next_event=int(plain["next"]),
                parts=tuple(_read_part(*one[:3]) for one in plain["held"]),
                # The last number of an unfinished part is the room it keeps.
                partial_tokens=sum(int(one[3]) for one in partial),
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise PeerBroken(url=url) from error

    async def read_events(
        self, address: str, since: int, wait_ms: int, timeout_s: float
    ) -> HeldEvents:
        """Return what changed since an event; raises ``PeerBroken``."""
        url = f"http://{address}/kv-events?since={since}"
        headers = {"wait-ms": str(wait_ms)}
        answer = await self.client.fetch(
            "GET", url, headers=headers, timeout_s=timeout_s
        )
        try:
            plain = _read_plain(answer, url)
            return HeldEvents(
                epoch=str(plain["boot-epoch"]),
                next_event=int(plain["next"]),
                gap=bool(plain["lost"]),
                events=tuple(
                    HeldEvent(_read_part(*one[2:5]), added=one[1] == "+")
                    for one in plain["events"]
                ),
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise PeerBroken(url=url) from error

    async def free_parts(
        self, address: str, epoch: str, parts: tuple[HeldPart, ...]
    ) -> None:
        """Free parts, unless the store restarted; raises ``PeerBroken``."""
        url = f"http://{address}/kv-free"
        body = {
            "parts": [[one.scope, one.identity] for one in parts],
            "boot-epoch": int(epoch) if epoch.isdecimal() else epoch,
        }
        answer = await self.client.fetch(
            "POST", url, orjson.dumps(body), timeout_s=LIST_TIMEOUT_S
        )
        if answer.status not in (200, 202, 409):
            raise PeerBroken(url=url)


def _read_plain(answer, url: str) -> Any:
    if answer.status != 200:
        raise PeerBroken(url=url)
    try:
        return parse_json(answer.body)
    except BadJson as error:
        raise PeerBroken(url=url) from error


def _read_part(scope: Any, identity: Any, tokens: Any) -> HeldPart:
    return HeldPart(str(scope or ""), str(identity), int(tokens))
