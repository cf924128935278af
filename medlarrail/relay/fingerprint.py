"""Identifies requests that callers send again, across attempts and entries.

Callers give each attempt its own ID, so a request is known by its content. The hash is
keyed: it tells nothing of the content to those who read logs or reports.
"""

import hashlib

from attrs import frozen

from medlarrail.core.entities import REQUEST_KEY_PREFIX
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


def get_fingerprint(
    request: InboundRequest, account: str, metadata: RequestMetadata, secret: bytes
) -> RequestFingerprint:
    """Return the fingerprint of a request of ``account``, empty for public ones.

    ``secret`` is shared by all entries.
    """
    hasher = hashlib.blake2b(
        digest_size=DIGEST_BYTES, key=hashlib.blake2b(secret).digest()
    )
    parts = ",".join(f"{part.identity}:{part.tokens}" for part in metadata.parts)
    for field in (
        request.method,
        request.host.encode("latin1"),
        request.target,
        account.encode(),
        metadata.model.encode(),
        parts.encode(),
        request.body,
    ):
        hasher.update(len(field).to_bytes(8, "big"))
        hasher.update(field)
    return RequestFingerprint(hasher.hexdigest())
