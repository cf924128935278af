"""Settings and checks shared by all programs."""

from attrs import frozen

from medlarrail.core.cluster_records import ValidationFault
from medlarrail.core.software_rollouts import SoftwareRolloutPolicy


@frozen
class Listen:
    """The listening address of a program, and its URL for other processes.

    Port 0 means the port in the URL.
    """

    host: str
    port: int
    url: str

    @property
    def bind_port(self) -> int:
        """The port to bind, 0 if neither field has one."""
        if self.port:
            return self.port
        tail = self.url.rpartition(":")[2]
        return int(tail) if tail.isdigit() else 0


@frozen
class Keys:
    """Keys of the deployment.

    ``cluster`` is shared by the system's own processes, ``endpoint`` by the
    endpoints; operators' keys are stored only as SHA-256 digests.
    """

    cluster: str
    endpoint: str = ""
    operators_sha256: tuple[str, ...] = ()


def iterate_listen_faults(listen: Listen):
    """Yield the faults of a listening address."""
    if not 0 < listen.bind_port < 65536:
        yield ValidationFault("$.listen.port", "not between 1 and 65535")
    if not listen.url.startswith("http://"):
        yield ValidationFault("$.listen.url", "does not start with http://")


def list_settings_faults(settings) -> list[ValidationFault]:
    """Return the faults of decoded settings."""
    faults = list(iterate_listen_faults(settings.listen))
    if not settings.name:
        faults.append(ValidationFault("$.name", "is empty"))
    if not settings.data_centre:
        faults.append(ValidationFault("$.data_centre", "is empty"))
    if len(settings.keys.cluster) < MIN_KEY_LENGTH:
        faults.append(
            ValidationFault("$.keys.cluster", f"shorter than {MIN_KEY_LENGTH}")
        )
    if not getattr(settings, "state_urls", ("set",)):
        faults.append(ValidationFault("$.state_urls", "is empty"))
    back_off = getattr(settings, "back_off", None)
    if back_off is not None and back_off.max_s < 0:
        faults.append(ValidationFault("$.back_off.max_s", "is negative"))
    rollouts = getattr(settings, "software_rollouts", None)
    if rollouts is not None:
        faults.extend(iterate_rollout_faults(rollouts))
    return faults


def iterate_rollout_faults(policy: SoftwareRolloutPolicy):
    """Yield the faults of the limits of software rollouts."""
    if not 0 <= policy.exposure_ratio <= 1:
        yield ValidationFault(
            "$.software_rollouts.exposure_ratio", "not between 0 and 1"
        )
    if policy.exposure_slack < 0:
        yield ValidationFault("$.software_rollouts.exposure_slack", "is negative")
    if policy.rollback_ms <= 0:
        yield ValidationFault("$.software_rollouts.rollback_ms", "is not positive")


MIN_KEY_LENGTH = 16
"""Minimum length of the deployment's keys in characters."""
