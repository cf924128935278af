"""Handles permit requests from other entries."""

from attrs import define

from medlarrail.ownership.ownership import OwnedEndpoints
from medlarrail.ownership.permit_client import PermitClient
from medlarrail.protocol.empty import EmptyMessage
from medlarrail.protocol.permits import (
    ACQUIRE_PATH,
    HOLDINGS_PATH,
    NOTICES_PATH,
    AcquireAnswer,
    AcquireRequest,
    HoldingsAnswer,
    HoldingsRequest,
    NoticesRequest,
)
from medlarrail.transport.routes import Request, route


@define
class PermitHandlers:
    """The routes that entries call on each other."""

    owners: OwnedEndpoints
    permits: PermitClient

    @route("POST", ACQUIRE_PATH, AcquireRequest)
    async def handle_acquire(self, request: Request) -> AcquireAnswer:
        """Grant a permit."""
        return await self.owners.acquire(request.message)

    @route("POST", NOTICES_PATH, NoticesRequest)
    async def handle_notices(self, request: Request) -> EmptyMessage:
        """Process notices of started and ended requests."""
        self.owners.apply_notices(request.message)
        return EmptyMessage()

    @route("POST", HOLDINGS_PATH, HoldingsRequest)
    async def handle_holdings(self, request: Request) -> HoldingsAnswer:
        """Return the permits that this entry holds, for a new owner."""
        return await self.permits.list_holdings(request.message)
