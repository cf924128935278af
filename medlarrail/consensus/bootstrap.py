"""Forms a cluster of state members, once.

A member with an empty folder only waits. An operator's bootstrap asks every
listed member for its identity and gives all of them the same first snapshot,
which names those identities as the voters. A member that lost its disk comes
back with another identity, so it can neither vote nor form a cluster again.
"""

import secrets

from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import AlreadyBootstrapped
from medlarrail.protocol.control import Nothing
from medlarrail.protocol.replication import (
    IDENTITY_PATH,
    SNAPSHOT_PATH,
    AppendAnswer,
    Identity,
    SnapshotRequest,
)
from medlarrail.state.catalogue import Catalogue
from medlarrail.state.journal import Snapshot
from medlarrail.transport.client import Peers

CALL_TIMEOUT_S = 5.0
CLUSTER_BYTES = 8
FIRST_INDEX = 1


async def bootstrap_cluster(peers: Peers, urls: tuple[str, ...]) -> Snapshot:
    """Make the members at ``urls`` one cluster and return its first snapshot."""
    identities = [await fetch_identity(peers, url) for url in urls]
    for one in identities:
        if one.cluster:
            raise AlreadyBootstrapped(member=one.name)
    members = tuple(
        MemberInfo(one.identity, one.name, url)
        for one, url in zip(identities, urls, strict=True)
    )
    snapshot = build_first_snapshot(members)
    for member in members:
        request = SnapshotRequest(member.identity, member, 0, snapshot)
        await peers.call(
            member.url, SNAPSHOT_PATH, request, AppendAnswer, CALL_TIMEOUT_S
        )
    return snapshot


async def fetch_identity(peers: Peers, url: str) -> Identity:
    """Return the identity of the member at ``url``."""
    return await peers.call(url, IDENTITY_PATH, Nothing(), Identity, CALL_TIMEOUT_S)


def build_first_snapshot(members: tuple[MemberInfo, ...]) -> Snapshot:
    """Return the snapshot that a new cluster starts from."""
    catalogue = Catalogue(index=FIRST_INDEX, members=members)
    return Snapshot(
        index=FIRST_INDEX,
        term=0,
        members=members,
        image=catalogue.get_image(),
        cluster=secrets.token_hex(CLUSTER_BYTES),
        base_index=FIRST_INDEX,
    )
