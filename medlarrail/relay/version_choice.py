"""Which software versions one request may go to, and its draw during a rollout."""

from attrs import define

from medlarrail.cluster.cluster_view import EndpointView
from medlarrail.core.announcements import Announcement
from medlarrail.core.software_rollouts import RolloutStage
from medlarrail.relay.rollout_observation import AttemptObservation
from medlarrail.relay.service_rollout import ServiceRollout


@define(eq=False)
class VersionChoice:
    """The versions that ``relayed`` may go to.

    It is drawn for the target or for the other versions when its endpoint is first
    chosen, and again only if the stage changes before it was sent. If it may run only
    once, the version that it is sent to first is the only one from then on.
    """

    relayed: "RelayedRequest"  # noqa: F821
    traffic: "RolloutTraffic"  # noqa: F821
    _drawn: bool | None = None
    """Whether the request was drawn for the target, None before the draw."""
    _drawn_order: tuple[int, RolloutStage] | None = None
    """The rollout and stage of the draw."""
    _reserved: ServiceRollout | None = None
    """The rollout at whose target a request is reserved."""
    _sent_version: str | None = None
    """The first version that the request was sent to."""

    @property
    def _route(self) -> str:
        return self.relayed.admission.route.name

    @property
    def bound_version(self) -> str | None:
        """The only version that the request may go to since it was sent, if any.

        Services that never had a rollout may have several versions at any time.
        """
        if self._sent_version is None or self.relayed.admission.route.repeatable:
            return None
        rollout = self.traffic.find(self.relayed.service.name)
        return None if rollout is None else self._sent_version

    def select(self, available: list[EndpointView]) -> list[EndpointView]:
        """Return those of the available endpoints that the request may go to.

        Draws if necessary, and reserves a request to the target if that is selected.
        """
        rollout = self.traffic.find(self.relayed.service.name)
        usable = self._filter_usable(available, rollout)
        if rollout is None or not rollout.is_running:
            self.release()
            return usable
        targets = [view for view in usable if _is_target(rollout, view)]
        targets = self._filter_trial(rollout, targets)
        others = [view for view in usable if not _is_target(rollout, view)]
        if self._is_target_selected(rollout, targets, others):
            return targets
        self.release()
        return others

    def _filter_usable(
        self, available: list[EndpointView], rollout: ServiceRollout | None
    ) -> list[EndpointView]:
        """Return the endpoints of versions that may get this request at all."""
        if not available:
            return []
        named = rollout.named_versions if rollout is not None else ()
        held = self.traffic.sightings.list_held(available[0].announced, named)
        if rollout is None and not held:
            return available
        bound_version = self.bound_version
        return [
            view
            for view in available
            if view.announced.software_version not in held
            and bound_version in (None, view.announced.software_version)
            and (rollout is None or rollout.may_send(view.announced.software_version))
        ]

    def _is_target_selected(
        self,
        rollout: ServiceRollout,
        targets: list[EndpointView],
        others: list[EndpointView],
    ) -> bool:
        """Return whether the request goes to the target, reserving it there if so."""
        if not targets:
            self._record_draw(rollout, False)
            return False
        if self._is_fixed():
            return self._reserve(rollout, is_repeat=True)
        self._forget_old_draw(rollout)
        if self._drawn is None:
            is_reachable = self._has_reachable(targets) or not others
            self._record_draw(rollout, is_reachable and self._reserve(rollout))
            return self._drawn
        if self._sent_version is not None and others:
            self._drawn = False
        is_repeat = self._sent_version is not None
        return self._drawn and self._reserve(rollout, is_repeat)

    def _is_fixed(self) -> bool:
        """Return whether the version is fixed by what was sent before."""
        stream_version = self.relayed.stream_version.version
        return self.bound_version is not None or stream_version is not None

    def _forget_old_draw(self, rollout: ServiceRollout) -> None:
        """Draw anew for another stage, unless the request was sent."""
        if self._sent_version is None and self._drawn_order != _get_order(rollout):
            self.release()
            self._drawn = None

    def _record_draw(self, rollout: ServiceRollout, drawn: bool) -> None:
        if self._drawn is not False:
            self._drawn = drawn
            self._drawn_order = _get_order(rollout)

    def _has_reachable(self, targets: list[EndpointView]) -> bool:
        """Return whether this entry's path to any of the endpoints is sound."""
        health = self.traffic.stats.health
        return any(not health.is_suspected(view.announced.name) for view in targets)

    def _filter_trial(
        self, rollout: ServiceRollout, targets: list[EndpointView]
    ) -> list[EndpointView]:
        """Return the target's endpoints that are in use at this stage.

        What can't go to another version may go to all: the few may have failed it.
        """
        if not targets or rollout.record.stage == "full" or self._is_fixed():
            return targets
        names = rollout.list_trial_endpoints()
        return [view for view in targets if view.announced.name in names]

    def _reserve(self, rollout: ServiceRollout, is_repeat: bool = False) -> bool:
        if self._reserved is not rollout:
            self.release()
            if rollout.reserve(self._route, is_repeat):
                self._reserved = rollout
        return self._reserved is rollout

    def release(self) -> None:
        """Take back the reservation if nothing was sent for it."""
        if self._reserved is not None:
            self._reserved.release(self._route)
            self._reserved = None

    def may_wait_for(self, announced: Announcement) -> bool:
        """Return whether the request may wait for room at an endpoint.

        In the stage ``trial`` it waits for the target only if it was drawn for it.
        """
        version = announced.software_version
        if self.bound_version not in (None, version):
            return False
        rollout = self.traffic.find(self.relayed.service.name)
        if rollout is None:
            return True
        if not rollout.may_send(version):
            return False
        is_free = not rollout.is_running or not rollout.is_target(version)
        if is_free or rollout.record.stage == "full" or self._is_fixed():
            return True
        is_drawn = self._reserved is rollout
        return is_drawn and announced.name in rollout.list_trial_endpoints()

    def may_send(self, announced: Announcement) -> bool:
        """Return whether the request may be sent to an endpoint at this moment.

        The rollout may have changed since the endpoint was chosen.
        """
        rollout = self.traffic.find(announced.service)
        if rollout is None:
            return True
        version = announced.software_version
        is_free = not rollout.is_running or not rollout.is_target(version)
        is_allowed = is_free or self._reserved is rollout
        return is_allowed and rollout.may_send(version)

    def record_sent(self, announced: Announcement) -> AttemptObservation | None:
        """Count the request as sent; return what observes its answer, if anything."""
        if self._sent_version is None:
            self._sent_version = announced.software_version
        rollout = self.traffic.find(announced.service)
        if rollout is None:
            return None
        if rollout.is_running:
            self.traffic.count_sent(announced)
        is_target = rollout.is_target(announced.software_version)
        if is_target and self._reserved is rollout:
            self._reserved = None
        else:
            self.release()
            rollout.record_sent(self._route, is_target)
        return AttemptObservation(rollout, announced) if rollout.is_running else None


def _is_target(rollout: ServiceRollout, view: EndpointView) -> bool:
    return rollout.is_target(view.announced.software_version)


def _get_order(rollout: ServiceRollout) -> tuple[int, RolloutStage]:
    return (rollout.record.started_ms, rollout.record.stage)
