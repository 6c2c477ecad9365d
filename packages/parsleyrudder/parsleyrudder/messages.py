"""Messages between routers, encoded as MessagePack arrays.

Each message except :class:`TableNews` names its sender; :class:`Report` and :class:`LoadMessage`
also carry the sender's incarnation. The adapters handle transport and authentication. A message
that fails to decode raises an error; it is never accepted in part.
"""

from enum import StrEnum

import msgspec

from .lists import Difference

__all__ = [
    "Carried",
    "ChangedRow",
    "ConfigReply",
    "ConfigRequest",
    "Gossip",
    "Grant",
    "Holding",
    "LoadMessage",
    "LoadReport",
    "MemberReport",
    "MemberTotal",
    "Message",
    "OrganisationUsage",
    "OriginReply",
    "OriginRequest",
    "PromptPart",
    "Report",
    "RouterInfo",
    "RouterState",
    "SentParts",
    "StreamStart",
    "StreamStarts",
    "SuspectCrashes",
    "SuspectKind",
    "TableNews",
    "TargetLimit",
    "decode_message",
    "encode_message",
]


class _Part(msgspec.Struct, array_like=True, frozen=True):
    """Base class of the structs nested in messages."""


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of the messages."""


class MemberReport(_Part, frozen=True):
    """State of one member's calls at one router, in one pool.

    :ivar served: cost served since the start of the router's incarnation.
    :ivar admitted: number of calls admitted since the start of the router's incarnation.
    :ivar running: number of calls at servers.
    :ivar waiting: number of calls waiting for a slot.
    :ivar remaining_cost: estimated cost that the running calls have yet to accrue.
    """

    member: str
    served: float
    admitted: int
    running: int
    waiting: int
    remaining_cost: float


class Carried(_Part, frozen=True):
    """A virtual time received from the previous coordinator, reported to its successor.

    :ivar included_served: the sender's ``served`` that this virtual time includes.
    :ivar included_admitted: the sender's ``admitted`` that the previous coordinator has counted.
    """

    member: str
    virtual_time: float
    included_served: float
    included_admitted: int


class Holding(_Part, frozen=True):
    """A router's portion of one resource: a server's slots or a member's concurrency.

    :ivar held: size of the portion.
    :ivar used: number in use.
    :ivar min_used: lowest number in use at any time since the previous report.
    """

    name: str
    held: int
    used: int
    min_used: int = 0


class Report(_Message, frozen=True):
    """Report of one router to the coordinator of a pool.

    :ivar seq: sequence number, increasing with each report of one incarnation.
    :ivar epoch: epoch of the coordinator that the router follows; 0 for none.
    :ivar applied_grant: number of the last grant of that epoch that the router has applied.
    :ivar answered_seq: sequence number of the sender's latest report that a grant of that epoch
        has answered; 0 for none.
    :ivar table_up: whether the router can reach the table service.
    :ivar finished: number of calls finished since the start of the router's incarnation.
    :ivar finished_cost: total cost of these calls.
    :ivar carried: last virtual times from the previous coordinator; sent until the new coordinator
        has sent totals of the member.
    :ivar floor: lowest virtual time of the contending members, as known to the sender.
    :ivar granted_epoch: epoch of the last grant that the sender has applied; 0 for none.
    """

    pool: str
    sender: str
    incarnation: int
    seq: int
    epoch: int
    applied_grant: int
    answered_seq: int
    table_up: bool
    finished: int
    finished_cost: float
    members: tuple[MemberReport, ...] = ()
    slots: tuple[Holding, ...] = ()
    concurrency: tuple[Holding, ...] = ()
    carried: tuple[Carried, ...] = ()
    floor: float = 0.0
    granted_epoch: int = 0


class MemberTotal(_Part, frozen=True):
    """Fleet-wide state of one member in one pool.

    :ivar virtual_time: service received divided by share, in cost units.
    :ivar served: cost served; a cumulative count, used for cost limits.
    :ivar admitted: number of calls admitted; a cumulative count, used for rate limits.
    :ivar running: number of calls at servers.
    """

    member: str
    virtual_time: float
    served: float
    admitted: int
    running: int


class Grant(_Message, frozen=True):
    """Answer of a pool's coordinator to a router's report.

    :ivar epoch: epoch of the coordinator's lease.
    :ivar number: incremented with each change of the router's portions in one epoch. A grant that
        repeats a number renews the lease and carries newer totals, but sets no portions, so that a
        delayed repeat cannot undo a release.
    :ivar report_seq: sequence number of the answered report; the lease of the portions runs from
        the time at which that report was sent.
    :ivar incarnation: incarnation of the receiving router.
    :ivar lease_s: length of the portions' lease in seconds.
    :ivar target_slots: number of slots that the router should hold; it releases the others as they
        become idle.
    :ivar slots: pairs of a server and the number of its slots that the router may hold; servers
        not listed have none.
    :ivar concurrency: pairs of a member and the number of its calls that the router may run.
    :ivar contended: whether the pool's calls need more slots than it has.
    :ivar floor: lowest virtual time of the contending members.
    :ivar quantum: cost that one slot is assumed to serve when members are ordered.
    :ivar router_count: number of routers that report to the coordinator; they share each burst of a
        rate limit.
    """

    pool: str
    sender: str
    epoch: int
    number: int
    report_seq: int
    incarnation: int
    lease_s: float
    target_slots: int
    slots: tuple[tuple[str, int], ...]
    concurrency: tuple[tuple[str, int], ...]
    totals: tuple[MemberTotal, ...]
    contended: bool
    floor: float
    quantum: float
    router_count: int = 1


class RouterState(_Part, frozen=True):
    """State of one router, as known to the sender of a gossip message.

    :ivar heartbeat: counter that only the router itself increments.
    :ivar leaving: whether the router is leaving the fleet.
    """

    name: str
    incarnation: int
    heartbeat: int
    leaving: bool


class RouterInfo(_Part, frozen=True):
    """Registration information of a router.

    :ivar incarnation: number that increases with each start of the router.
    :ivar peer_address: address for messages from other routers.
    :ivar caller_url: address or URL for callers.
    """

    name: str
    incarnation: int
    failure_domain: str
    peer_address: str
    caller_url: str


class Gossip(_Message, frozen=True):
    """Configuration version of the sender and a part of its view of the fleet.

    :ivar config_version: version of the sender's active configuration.
    :ivar table_up: whether the sender can reach the table service.
    :ivar wants_reply: whether the receiver should reply with its own gossip.
    :ivar states: a part of the sender's view, with the sender first.
    :ivar infos: registration information of routers that the receiver may not know.
    :ivar leaving_servers: ids of servers that are leaving, each with the seconds since a router
        read it from the instance list or the table.
    :ivar wants_info: whether the sender knows of routers whose information it lacks.
    """

    sender: str
    config_version: int
    table_up: bool
    wants_reply: bool
    states: tuple[RouterState, ...]
    infos: tuple[RouterInfo, ...] = ()
    leaving_servers: tuple[tuple[str, float], ...] = ()
    wants_info: bool = False


class ConfigRequest(_Message, frozen=True):
    """Request for the configuration changes after a version.

    :ivar known_version: version of the sender's configuration.
    """

    sender: str
    known_version: int


class ConfigReply(_Message, frozen=True):
    """Configuration changes.

    :ivar base_version: version that ``diff`` applies to; 0 for the whole configuration.
    :ivar version: version that results from applying ``diff``.
    """

    sender: str
    base_version: int
    version: int
    diff: Difference


class LoadReport(_Part, frozen=True):
    """Load that one router has put on one target.

    :ivar running: number of requests that were sent and have not ended.
    :ivar pending_prefill_tokens: number of their prompt tokens that the target has yet to prefill.
    """

    running: int
    pending_prefill_tokens: int


class OrganisationUsage(_Part, frozen=True):
    """Exponentially decaying sums of the request cost of one organisation at one router.

    :ivar demand: cost of the requests that arrived.
    :ivar usage: cost of the requests that were sent to targets.
    """

    demand: float
    usage: float


class PromptPart(_Part, frozen=True):
    """A part of a prompt; parts with equal ids consist of the same tokens."""

    id: str
    tokens: int


class SentParts(_Part, frozen=True):
    """Shared parts of a prompt that the sender has just sent to a target, in prompt order.

    :ivar lifetime: lifetime of the target; see :attr:`Target.lifetime`.
    """

    lifetime: str
    parts: tuple[PromptPart, ...]


class SuspectKind(StrEnum):
    """What requests that crash targets have in common."""

    PART = "part"
    """A part of the prompt; sound if a response to a prompt with it has begun."""
    REQUEST = "request"
    """Method, path, organisation and body; sound if a response to the request is complete."""


class SuspectCrashes(_Part, frozen=True):
    """What the sender knows of a suspect; see :class:`Suspect`.

    :ivar crash_age_ms_by_lifetime: milliseconds since the crashes of targets under requests with
        the suspect, by the target's lifetime; those observed by any router.
    :ivar cleared_age_ms: milliseconds since the sender last found the suspect sound; None if it
        has not.
    :ivar trial_age_ms: milliseconds since the sender last tried the suspect; None if it has not.
    """

    pool: str
    kind: SuspectKind
    id: str
    crash_age_ms_by_lifetime: dict[str, int] = {}
    cleared_age_ms: int | None = None
    trial_age_ms: int | None = None


class TargetLimit(_Part, frozen=True):
    """Request rate that a target has stated in a response to the sender.

    :ivar lifetime: lifetime of the target; see :attr:`Target.lifetime`.
    :ivar requests_per_s: requests per second that it accepts from all routers together; None if
        the response stated no limit.
    :ivar age_ms: milliseconds since the response.
    """

    lifetime: str
    requests_per_s: float | None
    age_ms: int


class LoadMessage(_Message, frozen=True):
    """Load and usage by the requests of one router; each message replaces the previous one.

    :ivar sequence: increases with each message of an incarnation; older messages are dropped.
    :ivar accepts_requests: whether callers may be referred to this router.
    :ivar long_prompt_tokens: decaying sum of the tokens of long prompts; see :class:`PromptVolume`.
    :ivar all_prompt_tokens: decaying sum of the tokens of all prompts.
    :ivar sent_parts: prompt parts sent to targets since the previous message; they are not repeated
        if the message is lost.
    :ivar suspect_crashes: what may crash targets.
    :ivar target_limits: rate limits that targets have stated recently.
    """

    sender: str
    incarnation: int
    sequence: int
    accepts_requests: bool
    load_by_target: dict[str, LoadReport] = {}
    usage_by_organisation: dict[str, OrganisationUsage] = {}
    long_prompt_tokens: float = 0.0
    all_prompt_tokens: float = 0.0
    sent_parts: tuple[SentParts, ...] = ()
    suspect_crashes: tuple[SuspectCrashes, ...] = ()
    target_limits: tuple[TargetLimit, ...] = ()


class ChangedRow(_Part, frozen=True):
    """Added or changed row, as read from the store."""

    key: str
    value: bytes
    revision: int


class TableNews(_Message, frozen=True):
    """Changes of a table, forwarded to other routers by a router that watches the table.

    :ivar after: revision after which the changes were made.
    :ivar revision: revision up to which the changes are complete.
    :ivar store_time_s: monotonic time of the store when it responded.
    :ivar includes_changes: whether the message contains the changes; large ones are not forwarded
        but read from the store by each router.
    :ivar removed: revisions of the removals, by the key of the removed row.
    """

    table: str
    after: int
    revision: int
    store_time_s: float
    includes_changes: bool = True
    rows: tuple[ChangedRow, ...] = ()
    removed: dict[str, int] = {}


class StreamStart(_Part, frozen=True):
    """A stream that has brought its first event to its caller.

    :ivar key: key of the request that brought it; see :func:`stream_key`.
    :ivar pool: pool of the target that began the stream.
    :ivar version: software version of this target; see :attr:`Target.version`.
    """

    key: bytes
    pool: str
    version: str


class StreamStarts(_Message, frozen=True):
    """Streams that the sender has begun, or that it hands over because it stops."""

    starts: tuple[StreamStart, ...]


class OriginRequest(_Message, frozen=True):
    """Question where a stream began.

    :ivar pool: pool in which the stream would go on.
    """

    sender: str
    key: bytes
    pool: str


class OriginReply(_Message, frozen=True):
    """Reply to :class:`OriginRequest`.

    :ivar start: start of the stream; None if the sender does not know it.
    :ivar versions: versions that the targets of the pool have had lately.
    """

    sender: str
    key: bytes
    start: StreamStart | None
    versions: tuple[str, ...]


Message = (
    Report
    | Grant
    | Gossip
    | ConfigRequest
    | ConfigReply
    | LoadMessage
    | TableNews
    | StreamStarts
    | OriginRequest
    | OriginReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    :raises msgspec.DecodeError: if the bytes are not a valid message.

    >>> decode_message(encode_message(ConfigRequest("a", 3)))
    ConfigRequest(sender='a', known_version=3)
    """
    return _DECODER.decode(data)
