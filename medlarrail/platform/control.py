"""The calls of endpoints and operators, translated to the leading state member."""

import eliot
from attrs import define

from medlarrail.cluster.picture_desk import PictureDesk
from medlarrail.core.codec import parse_json
from medlarrail.core.errors import BadField, MedlarError, NotLeader
from medlarrail.core.metrics import get_metrics
from medlarrail.platform.announcements import decode_announcement
from medlarrail.platform.documents import decode_deployment
from medlarrail.transport.routes import JSON, Reply, Request, format_error, route

TEMPORARY_REDIRECT = 307
DONE = Reply(200, b"{}")
UNAVAILABLE_STATUS = 503


def answer_failure(error: MedlarError, request: Request) -> Reply:
    """Return the answer for a call that was not carried out.

    Where another member leads, the caller is sent there. An operator tries
    elsewhere after a 5xx only, so what says nothing about the call itself is
    answered as unavailable.
    """
    get_metrics().count("control_failures", reason=type(error).__name__)
    if isinstance(error, NotLeader) and error.leader_url:
        location = error.leader_url + request.path
        return Reply(TEMPORARY_REDIRECT, b"{}", headers={"location": location})
    eliot.log_message(
        "control:failed", call=request.method, path=request.path, reason=str(error)
    )
    if 400 <= error.status < 500 and error.status != 409:
        return format_error(error)
    return Reply(UNAVAILABLE_STATUS, format_error(error).body)


def answers(handler):
    """Give each typed error of a handler its answer."""

    async def answer(self, request: Request) -> Reply:
        try:
            return await handler(self, request)
        except MedlarError as error:
            return answer_failure(error, request)

    return answer


@define
class PlatformControl:
    """The platform's control calls on one state member."""

    desk: PictureDesk

    @route("PUT", "/instances/*")
    @answers
    async def handle_announcement(self, request: Request) -> Reply:
        """Take up a heartbeat of an endpoint."""
        self.desk.require_leading()
        self.desk.note_announcement(decode_announcement(request.tail, request.body))
        return DONE

    @route("DELETE", "/instances/*")
    @answers
    async def handle_departure(self, request: Request) -> Reply:
        """Take up that an endpoint leaves."""
        self.desk.note_departure(request.tail)
        return DONE

    @route("PUT", "/config")
    @answers
    async def handle_configuration(self, request: Request) -> Reply:
        """Replace the deployment document."""
        await self.desk.replace_deployment(decode_deployment(request.body))
        return DONE

    @route("GET", "/config")
    @answers
    async def handle_reading(self, request: Request) -> Reply:
        """Return the newest document as it was sent."""
        deployment = await self.desk.read_deployment()
        if deployment is None:
            return Reply(UNAVAILABLE_STATUS, b"{}")
        return Reply(200, deployment.source.encode(), JSON)

    @route("POST", "/evacuate/*")
    @answers
    async def handle_evacuation(self, request: Request) -> Reply:
        """Take a data centre out of service."""
        await self.desk.set_data_centre(request.tail, in_service=False)
        return DONE

    @route("DELETE", "/evacuate/*")
    @answers
    async def handle_evacuation_end(self, request: Request) -> Reply:
        """Take a data centre back into service."""
        await self.desk.set_data_centre(request.tail, in_service=True)
        return DONE

    @route("POST", "/version-put")
    @answers
    async def handle_version(self, request: Request) -> Reply:
        """Name the weight version that a model's endpoints are to load."""
        plain = parse_json(request.body)
        if not isinstance(plain, dict):
            raise BadField(place="$", problem="is no object")
        model, version = plain.get("model"), plain.get("version")
        if not isinstance(model, str) or not model:
            raise BadField(place="$.model", problem="is no text")
        if type(version) is not int or version < 1:
            raise BadField(place="$.version", problem="is no version")
        await self.desk.name_version(model, version)
        return DONE
