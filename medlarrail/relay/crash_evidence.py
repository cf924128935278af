"""What one request tells of crashes of endpoints, and whether it may be sent.

A request is a suspect by the shared parts of its prompt and by its whole content. Its
content is hashed only if it broke off, if some request of its service is watched, or if
its stream may be taken up.
"""

from functools import cached_property

from attrs import define

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.relay.attempt import Attempt
from medlarrail.relay.crash_reporter import Suspect
from medlarrail.relay.fingerprint import RequestFingerprint, get_fingerprint


@define(eq=False)
class CrashEvidence:
    """The evidence of ``relayed``, and the trials that it needs."""

    relayed: "RelayedRequest"  # noqa: F821
    is_trial: bool = False
    """Whether the leader granted the request as a trial."""

    @cached_property
    def fingerprint(self) -> RequestFingerprint:
        """The fingerprint of the request."""
        account = self.relayed.admission.account
        return get_fingerprint(
            self.relayed.exchange.request,
            account.name if account is not None else "",
            self.relayed.metadata,
            self.relayed.relay.secret,
        )

    def list_watched(self) -> tuple[Suspect, ...]:
        """Return the request's suspects, itself only if any request is watched."""
        relayed = self.relayed
        parts = relayed.metadata.shared_parts
        if relayed.service.name in relayed.relay.cluster_view.watched_services:
            return (*parts, self.fingerprint)
        return parts

    def require_not_blocked(self) -> None:
        """Raise ``PromptBlocked`` or ``RequestBlocked`` unless a trial is due."""
        self.relayed.relay.blocked_prompts.require_trial_due(
            self.relayed.service.name, self.list_watched()
        )

    async def request_trial(self) -> None:
        """Ask for permission to send a request that may crash its endpoint.

        A trial that was granted lasts until the request has run.
        """
        if self.is_trial and not self.relayed.runs:
            return
        relay = self.relayed.relay
        suspects = self.list_watched()
        name = self.relayed.service.name
        is_retried = await relay.blocked_prompts.request_trial(name, suspects)
        is_suspected = await relay.suspected_requests.request_trial(name, suspects)
        self.is_trial = is_retried or is_suspected

    def record_answered(self, attempt: Attempt) -> None:
        """Record an answer.

        One that ends with its connection may be what came before the endpoint crashed.
        """
        crashes = self.relayed.relay.crashes
        suspects = self.list_watched()
        if attempt.framing.proves_end:
            crashes.record_completed(self.relayed.service.name, suspects)
        elif attempt.body_bytes:
            crashes.record_unproven(attempt.endpoint.announced, suspects)
        else:
            self.record_broken(attempt.endpoint)

    def record_broken(self, endpoint: EndpointView) -> None:
        """Record that the request broke off at an endpoint."""
        metadata = self.relayed.metadata
        self.relayed.relay.crashes.record_broken(
            endpoint.announced,
            metadata.model,
            (*metadata.shared_parts, self.fingerprint),
        )
