"""Bootstraps a cluster of state members, once.

A member with an empty data folder only waits. Bootstrapping reads the identity of
every listed member and sends all of them the same initial snapshot, which lists
those identities as the voters. A member that lost its disk restarts with a new
identity, so it can neither vote in its old place nor bootstrap a second cluster.
"""

import secrets

from medlarrail.core.entities import MemberInfo
from medlarrail.core.errors import AlreadyBootstrapped
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.replication import (
    IDENTITY_PATH,
    SNAPSHOT_PATH,
    AppendAnswer,
    Identity,
    SnapshotRequest,
)
from medlarrail.state.catalogue import Catalogue
from medlarrail.state.journal import Snapshot
from medlarrail.transport.client import PeerClient

CALL_TIMEOUT_S = 5.0
CLUSTER_ID_BYTES = 8
FIRST_INDEX = 1


async def bootstrap_cluster(peers: PeerClient, urls: tuple[str, ...]) -> Snapshot:
    """Bootstrap a cluster of the members at ``urls``; return its initial snapshot."""
    identities = [await fetch_identity(peers, url) for url in urls]
    for identity in identities:
        if identity.cluster:
            raise AlreadyBootstrapped(member=identity.name)
    members = tuple(
        MemberInfo(identity.identity, identity.name, url)
        for identity, url in zip(identities, urls, strict=True)
    )
    snapshot = build_first_snapshot(members)
    for member in members:
        request = SnapshotRequest(member.identity, member, 0, snapshot)
        await peers.call(
            member.url, SNAPSHOT_PATH, request, AppendAnswer, CALL_TIMEOUT_S
        )
    return snapshot


async def fetch_identity(peers: PeerClient, url: str) -> Identity:
    """Return the identity of the member at ``url``."""
    return await peers.call(
        url, IDENTITY_PATH, EmptyMessage(), Identity, CALL_TIMEOUT_S
    )


def build_first_snapshot(members: tuple[MemberInfo, ...]) -> Snapshot:
    """Return the initial snapshot of a new cluster."""
    catalogue = Catalogue(index=FIRST_INDEX, members=members)
    return Snapshot(
        index=FIRST_INDEX,
        term=0,
        members=members,
        image=catalogue.get_image(),
        cluster=secrets.token_hex(CLUSTER_ID_BYTES),
        base_index=FIRST_INDEX,
    )
