"""What the settings of all programs share."""

from attrs import frozen

from medlarrail.core.entities import Fault


@frozen
class Listen:
    """Where a program listens, and the URL under which others reach it.

    Port 0 stands for the port of the URL.
    """

    host: str
    port: int
    url: str

    @property
    def bind_port(self) -> int:
        """The port to bind, 0 where neither field has one."""
        if self.port:
            return self.port
        tail = self.url.rpartition(":")[2]
        return int(tail) if tail.isdigit() else 0


@frozen
class Keys:
    """Keys of the deployment.

    ``cluster`` is shared by the system's own processes, ``endpoint`` by
    endpoints; of operators' keys only SHA-256 digests are stored.
    """

    cluster: str
    endpoint: str = ""
    operators_sha256: tuple[str, ...] = ()


def iterate_listen_faults(listen: Listen):
    """Yield what is wrong with an address."""
    if not 0 < listen.bind_port < 65536:
        yield Fault("$.listen.port", "not between 1 and 65535")
    if not listen.url.startswith("http://"):
        yield Fault("$.listen.url", "does not start with http://")


def iterate_faults(settings) -> list[Fault]:
    """Return what is wrong with settings whose types are right."""
    faults = list(iterate_listen_faults(settings.listen))
    if not settings.name:
        faults.append(Fault("$.name", "is empty"))
    if not settings.data_centre:
        faults.append(Fault("$.data_centre", "is empty"))
    if len(settings.keys.cluster) < SHORTEST_KEY:
        faults.append(Fault("$.keys.cluster", f"shorter than {SHORTEST_KEY}"))
    if not getattr(settings, "state_urls", ("set",)):
        faults.append(Fault("$.state_urls", "is empty"))
    return faults


SHORTEST_KEY = 16
"""Characters that a key of the deployment has at least."""
