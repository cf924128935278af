"""Client for the platform's context stores: listings, change events and freeing."""

from typing import Any

import orjson
from attrs import define

from medlarrail.cluster.context_store_client import (
    StoredPart,
    StoreEvent,
    StoreEventBatch,
    StoreListing,
)
from medlarrail.core.codec import parse_json, read_count
from medlarrail.core.errors import BadJson, PeerBroken
from medlarrail.transport.client import HttpClient

LIST_TIMEOUT_S = 1.5


@define
class PlatformContextStoreClient:
    """See ``medlarrail.cluster.context_store_client.ContextStoreClient``."""

    client: HttpClient

    async def read_list(self, address: str) -> StoreListing:
        """Return a store's contents; raises ``PeerBroken`` for an invalid answer."""
        url = f"http://{address}/kv-list"
        answer = await self.client.fetch("GET", url, timeout_s=LIST_TIMEOUT_S)
        try:
            payload = _parse_answer(answer, url)
            partial = payload.get("partial") or ()
            return StoreListing(
                epoch=str(payload["boot-epoch"]),
                next_event=read_count(payload["next"]),
                parts=tuple(_parse_part(*item[:3]) for item in payload["held"]),
                # The last number of a partial item is its number of reserved tokens.
                partial_tokens=sum(read_count(item[3]) for item in partial),
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise PeerBroken(url=url) from error

    async def read_events(
        self, address: str, since: int, wait_ms: int, timeout_s: float
    ) -> StoreEventBatch:
        """Return the changes since an event; raises ``PeerBroken``."""
        url = f"http://{address}/kv-events?since={since}"
        headers = {"wait-ms": str(wait_ms)}
        answer = await self.client.fetch(
            "GET", url, headers=headers, timeout_s=timeout_s
        )
        try:
            payload = _parse_answer(answer, url)
            return StoreEventBatch(
                epoch=str(payload["boot-epoch"]),
                next_event=read_count(payload["next"]),
                gap=bool(payload["lost"]),
                events=tuple(
                    StoreEvent(_parse_part(*event[2:5]), added=event[1] == "+")
                    for event in payload["events"]
                ),
            )
        except (KeyError, TypeError, ValueError, IndexError) as error:
            raise PeerBroken(url=url) from error

    async def free_parts(
        self, address: str, epoch: str, parts: tuple[StoredPart, ...]
    ) -> None:
        """Free parts unless the store has restarted; raises ``PeerBroken``."""
        url = f"http://{address}/kv-free"
        body = {
            "parts": [[part.scope, part.identity] for part in parts],
            "boot-epoch": int(epoch) if epoch.isdecimal() else epoch,
        }
        answer = await self.client.fetch(
            "POST", url, orjson.dumps(body), timeout_s=LIST_TIMEOUT_S
        )
        if answer.status not in (200, 202, 409):
            raise PeerBroken(url=url)


def _parse_answer(answer, url: str) -> Any:
    if answer.status != 200:
        raise PeerBroken(url=url)
    try:
        return parse_json(answer.body)
    except BadJson as error:
        raise PeerBroken(url=url) from error


def _parse_part(scope: Any, identity: Any, tokens: Any) -> StoredPart:
    return StoredPart(str(scope or ""), str(identity), read_count(tokens))
