"""HTTP handlers for the platform's control calls from endpoints and operators."""

import eliot
import orjson
from attrs import define

from medlarrail.cluster.cluster_view_server import ClusterViewServer
from medlarrail.core.codec import parse_json
from medlarrail.core.errors import BadField, MedlarError, NotLeader, RolloutInProgress
from medlarrail.core.metrics import get_metrics
from medlarrail.platform.announcements import decode_announcement
from medlarrail.platform.documents import decode_deployment
from medlarrail.platform.rollouts import decode_rollout_order, encode_rollout
from medlarrail.transport.routes import JSON, Reply, Request, format_error, route

TEMPORARY_REDIRECT = 307
EMPTY_OK = Reply(200, b"{}")
UNAVAILABLE_STATUS = 503


def build_error_reply(error: MedlarError, request: Request) -> Reply:
    """Return the answer for a call that failed.

    If another member is the leader, the caller is redirected to it. Operators try
    another member only after a 5xx, so an error that is not about the call itself
    is answered with 503. A conflict with another rollout is about the call.
    """
    get_metrics().count("control_failures", reason=type(error).__name__)
    if isinstance(error, NotLeader) and error.leader_url:
        location = error.leader_url + request.path
        return Reply(TEMPORARY_REDIRECT, b"{}", headers={"location": location})
    eliot.log_message(
        "control:failed", call=request.method, path=request.path, reason=str(error)
    )
    is_conflict = error.status == 409 and not isinstance(error, RolloutInProgress)
    if 400 <= error.status < 500 and not is_conflict:
        return format_error(error)
    return Reply(UNAVAILABLE_STATUS, format_error(error).body)


def reply_to_errors(handler):
    """Wrap a handler so that each ``MedlarError`` becomes an error answer."""

    async def wrapper(self, request: Request) -> Reply:
        try:
            return await handler(self, request)
        except MedlarError as error:
            return build_error_reply(error, request)

    return wrapper


@define
class PlatformControl:
    """Handlers of the platform's control calls on one state member."""

    view_server: ClusterViewServer
    _encoded: tuple = (None, b"")
    """The deployment that was read last, and its source; all readers share it."""

    @route("PUT", "/instances/*")
    @reply_to_errors
    async def handle_announcement(self, request: Request) -> Reply:
        """Record an endpoint's heartbeat, and have the next ones sent to the leader.

        Four of five would otherwise be redirected, over a connection more each.
        """
        self.view_server.require_leading()
        await self.view_server.register_announcement(
            decode_announcement(request.tail, request.body)
        )
        return self._build_acknowledgement()

    def _build_acknowledgement(self) -> Reply:
        address = self.view_server.member.url.partition("://")[2].rstrip("/")
        return Reply(200, orjson.dumps({"heartbeat-addr": address}))

    @route("DELETE", "/instances/*")
    @reply_to_errors
    async def handle_departure(self, request: Request) -> Reply:
        """Record that an endpoint is leaving."""
        await self.view_server.register_departure(request.tail)
        return EMPTY_OK

    @route("PUT", "/config")
    @reply_to_errors
    async def handle_configuration(self, request: Request) -> Reply:
        """Replace the deployment document."""
        await self.view_server.replace_deployment(decode_deployment(request.body))
        return EMPTY_OK

    @route("GET", "/config")
    @reply_to_errors
    async def handle_configuration_read(self, request: Request) -> Reply:
        """Return the newest deployment document, byte for byte as it was sent."""
        deployment = await self.view_server.read_deployment()
        if deployment is None:
            return Reply(UNAVAILABLE_STATUS, b"{}")
        if self._encoded[0] is not deployment:
            self._encoded = (deployment, deployment.source.encode())
        return Reply(200, self._encoded[1], JSON)

    @route("POST", "/evacuate/*")
    @reply_to_errors
    async def handle_evacuation(self, request: Request) -> Reply:
        """Take a data centre out of service."""
        await self.view_server.set_data_centre_in_service(
            request.tail, in_service=False
        )
        return EMPTY_OK

    @route("DELETE", "/evacuate/*")
    @reply_to_errors
    async def handle_evacuation_end(self, request: Request) -> Reply:
        """Put a data centre back into service."""
        await self.view_server.set_data_centre_in_service(request.tail, in_service=True)
        return EMPTY_OK

    @route("POST", "/version-put")
    @reply_to_errors
    async def handle_desired_version(self, request: Request) -> Reply:
        """Set the weight version that a model's endpoints have to load."""
        payload = parse_json(request.body)
        if not isinstance(payload, dict):
            raise BadField(place="$", problem="is not an object")
        model, version = payload.get("model"), payload.get("version")
        if not isinstance(model, str) or not model:
            raise BadField(place="$.model", problem="is not a non-empty string")
        if type(version) is not int or version < 1:
            raise BadField(place="$.version", problem="is not a positive integer")
        await self.view_server.set_desired_version(model, version)
        return EMPTY_OK

    @route("POST", "/rollouts")
    @reply_to_errors
    async def handle_rollout(self, request: Request) -> Reply:
        """Start a software rollout, or acknowledge the order again."""
        rollouts = self.view_server.software_rollouts
        rollouts.require_enabled()
        await rollouts.start(decode_rollout_order(request.body))
        return EMPTY_OK

    @route("GET", "/rollouts/*")
    @reply_to_errors
    async def handle_rollout_read(self, request: Request) -> Reply:
        """Return the state of a service's latest software rollout."""
        rollout = await self.view_server.software_rollouts.read(request.tail)
        return Reply(200, encode_rollout(rollout), JSON)
