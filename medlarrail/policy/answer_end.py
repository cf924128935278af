"""Decides whether an answer that ended with its connection is complete.

Handles a release during which endpoints end while they answer, one after another. The
kernel then closes their connections in the regular way, as an endpoint itself does
after the last byte of an answer without a length or chunks. What differs is that the
endpoint is still there afterwards, so it is called once more before such an answer is
taken for complete.

An endpoint may also break off while its process goes on. A kernel reports a reset once,
to the call that comes next: if that one sends the request, the answer is then received
up to a regular end. So the request has to be received whole, too, and nothing may have
been reported on the connection by any call.
"""

import re
from enum import StrEnum

from attrs import frozen

MAX_END_DELAY_S = 0.1
"""Delay of noticing an end up to which the next process of that name is not expected at
the address yet: about as long as a process takes to start."""

FOREIGN_LINE = re.compile(rb"[\r\n](?=[^\r\n:])(?![!#$%&'*+.^_`|~\w-]++[:\r\n])")
"""The end of a line before one that is neither blank, a comment nor a field. Clients
ignore unknown fields, so any token (RFC 9110, 5.6.2) is taken for the name of one; the
status line of a response is none."""


class EndEvidence(StrEnum):
    """What shows that an answer ended, or that it may not have."""

    FRAMING = "framing"
    """A length was reached, or the last chunk was received."""
    ANSWERED = "answered"
    """The same incarnation of the endpoint answered a call after the end."""
    CONNECTED = "connected"
    """The endpoint accepted a connection after the end and kept it open, or one from
    before the request is open; used if it may not be called or does not answer, or if
    nothing is heard of it."""
    ANNOUNCED = "announced"
    """The incarnation that had announced itself before the request did so again after
    the end; used if nothing else tells it from the next one."""
    GONE = "gone"
    """Nothing accepts connections at the endpoint's address."""
    REPLACED = "replaced"
    """Another endpoint, or another incarnation, answers at the address."""
    LATE = "late"
    """The end was noticed so late, or a link may have held it back for so long, that
    another incarnation may have the address, and nothing tells which one it is."""
    SILENT = "silent"
    """The endpoint did not answer in time."""
    PEER = "peer"
    """Another entry passed the answer on without a length or chunks."""
    BROKEN = "broken"
    """The connection broke, though the answer may have ended regularly before it."""
    UNSENT = "unsent"
    """The endpoint ended its answer without receiving the whole request."""
    FOREIGN = "foreign"
    """Bytes that are no events followed the events of a stream, as those of a second
    response do."""

    @property
    def is_sufficient(self) -> bool:
        """Whether the answer may be passed on as complete."""
        return self in SUFFICIENT


SUFFICIENT = frozenset(
    (
        EndEvidence.FRAMING,
        EndEvidence.ANSWERED,
        EndEvidence.CONNECTED,
        EndEvidence.ANNOUNCED,
    )
)


def judge_exchange(is_broken: bool, is_request_received: bool) -> EndEvidence | None:
    """Return what the connection shows of an answer that ended with it.

    None if nothing is wrong with it; the endpoint decides then.

    >>> judge_exchange(is_broken=False, is_request_received=False)
    <EndEvidence.UNSENT: 'unsent'>
    """
    if is_broken:
        return EndEvidence.BROKEN
    return None if is_request_received else EndEvidence.UNSENT


def find_foreign_line(text: bytes) -> int | None:
    """Return where the line before the first that is no part of an event ends.

    None if there is none. Each line of ``text`` begins after the end of another.

    >>> find_foreign_line(b"\\ndata: x\\n\\nHTTP/1.1 200 OK\\r\\n")
    9
    """
    line = FOREIGN_LINE.search(text)
    return None if line is None else line.start()


@frozen
class EndpointReply:
    """What a reply to a call of an endpoint tells about whoever replied.

    ``endpoint`` and ``started_ms`` are its name and start, empty and 0 if it does not
    say. ``request_id`` is that of the request that it names: a call names none, so the
    reply to one has none either.
    """

    misdirected: bool = False
    endpoint: str = ""
    started_ms: int = 0
    request_id: str = ""

    def is_other_than(self, name: str, started_ms: int) -> bool:
        """Return whether it is another incarnation than the one that was announced.

        An endpoint may start again under its name; a ``started_ms`` of 0 is unknown.
        """
        is_other_endpoint = self.endpoint not in ("", name)
        are_starts_known = bool(self.started_ms and started_ms)
        is_other_start = are_starts_known and self.started_ms != started_ms
        return self.misdirected or is_other_endpoint or is_other_start


def judge_reply(
    reply: EndpointReply,
    name: str,
    started_ms: int,
    has_same_process: bool | None,
    delay_s: float,
) -> EndEvidence:
    """Return what a reply to a call after the end shows.

    ``name`` and ``started_ms`` are those of the endpoint that answered. For the other
    arguments see ``judge_process``; they count if the reply does not tell the start.

    >>> judge_reply(EndpointReply(False, "e1", 1000), "e1", 1000, None, 3.0)
    <EndEvidence.ANSWERED: 'answered'>
    >>> judge_reply(EndpointReply(False, "e1"), "e1", 1000, None, 3.0)
    <EndEvidence.LATE: 'late'>
    """
    if reply.is_other_than(name, started_ms):
        return EndEvidence.REPLACED
    if reply.started_ms and started_ms:
        return EndEvidence.ANSWERED
    return judge_process(EndEvidence.ANSWERED, has_same_process, delay_s)


def judge_process(
    evidence: EndEvidence, has_same_process: bool | None, delay_s: float
) -> EndEvidence:
    """Return ``evidence``, unless it may be that of the next process at the address.

    ``has_same_process`` is what other connections to the endpoint show, None if
    nothing, and ``delay_s`` the time for which the process may have ended already, as
    the end waited at this entry or a link held it back.
    """
    if has_same_process is None:
        return EndEvidence.LATE if delay_s > MAX_END_DELAY_S else evidence
    return evidence if has_same_process else EndEvidence.REPLACED
