"""Identifies requests that callers send again, across attempts and entries.

Callers give each attempt its own ID, so a request is known by its content. The hash is
keyed: it tells nothing of the content to those who read logs or reports.
"""

import hashlib
from collections.abc import Iterable

from attrs import frozen

from medlarrail.core.cluster_records import REQUEST_KEY_PREFIX
from medlarrail.relay.metadata import InboundRequest, RequestMetadata

DIGEST_BYTES = 12


@frozen
class RequestFingerprint:
    """The keyed hash of a request's content."""

    digest: str

    @property
    def key(self) -> str:
        """The key in messages and stored data, beside those of prompt parts."""
        return REQUEST_KEY_PREFIX + self.digest


def hash_fields(
    secret: bytes, fields: Iterable[bytes], digest_bytes: int, purpose: bytes = b""
) -> str:
    """Return the keyed hash of fields in hexadecimal; lengths keep them apart.

    Hashes for different purposes, of at most 16 bytes each, have nothing in common.
    """
    hasher = hashlib.blake2b(
        digest_size=digest_bytes, key=hashlib.blake2b(secret).digest(), person=purpose
    )
    for field in fields:
        hasher.update(len(field).to_bytes(8, "big"))
        hasher.update(field)
    return hasher.hexdigest()


def get_fingerprint(
    request: InboundRequest, account: str, metadata: RequestMetadata, secret: bytes
) -> RequestFingerprint:
    """Return the fingerprint of a request of ``account``, empty for public ones.

    ``secret`` is shared by all entries.
    """
    parts = ",".join(f"{part.identity}:{part.tokens}" for part in metadata.parts)
    fields = (
        request.method,
        request.host.encode("latin1"),
        request.target,
        account.encode(),
        metadata.model.encode(),
        parts.encode(),
        request.body,
    )
    return RequestFingerprint(hash_fields(secret, fields, DIGEST_BYTES))
