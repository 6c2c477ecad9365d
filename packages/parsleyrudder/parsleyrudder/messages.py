"""Messages between routers, encoded as MessagePack arrays.

Each message except :class:`TableNews` names its sender; :class:`Report` and :class:`LoadMessage`
also carry the sender's incarnation. The adapters handle transport and authentication. A message
that fails to decode raises an error; it is never accepted in part.
"""

import msgspec

from .decoding import decode_document
from .lists import Difference
from .message_base import BaseMessage, MessagePart
from .relay_messages import (
    ChangedRow,
    LoadDigest,
    LoadMessage,
    LoadReport,
    MemberState,
    OrganisationUsage,
    OriginReply,
    OriginRequest,
    PromptPart,
    SentParts,
    StreamStart,
    StreamStarts,
    StreamsToRecord,
    SuspectCrashes,
    SuspectKind,
    TableNews,
    TargetLimit,
)

__all__ = [
    "Carried",
    "ChangedRow",
    "ConfigReply",
    "ConfigRequest",
    "Gossip",
    "Grant",
    "Holding",
    "LoadDigest",
    "LoadMessage",
    "LoadReport",
    "MemberReport",
    "MemberState",
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
    "StreamsToRecord",
    "SuspectCrashes",
    "SuspectKind",
    "TableNews",
    "TargetLimit",
    "decode_message",
    "encode_message",
]


class MemberReport(MessagePart, frozen=True):
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


class Carried(MessagePart, frozen=True):
    """A virtual time received from the previous coordinator, reported to its successor.

    :ivar included_served: the sender's ``served`` that this virtual time includes.
    :ivar included_admitted: the sender's ``admitted`` that the previous coordinator has counted.
    """

    member: str
    virtual_time: float
    included_served: float
    included_admitted: int


class Holding(MessagePart, frozen=True):
    """A router's portion of one resource: a server's slots or a member's concurrency.

    :ivar held: size of the portion.
    :ivar used: number in use.
    :ivar min_used: lowest number in use at any time since the previous report.
    """

    name: str
    held: int
    used: int
    min_used: int = 0


class Report(BaseMessage, frozen=True):
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


class MemberTotal(MessagePart, frozen=True):
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


class Grant(BaseMessage, frozen=True):
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


class RouterState(MessagePart, frozen=True):
    """State of one router, as known to the sender of a gossip message.

    :ivar heartbeat: counter that only the router itself increments.
    :ivar leaving: whether the router is leaving the fleet.
    """

    name: str
    incarnation: int
    heartbeat: int
    leaving: bool


class RouterInfo(MessagePart, frozen=True):
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


class Gossip(BaseMessage, frozen=True):
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


class ConfigRequest(BaseMessage, frozen=True):
    """Request for the configuration changes after a version.

    :ivar known_version: version of the sender's configuration.
    """

    sender: str
    known_version: int


class ConfigReply(BaseMessage, frozen=True):
    """Configuration changes.

    :ivar base_version: version that ``diff`` applies to; 0 for the whole configuration.
    :ivar version: version that results from applying ``diff``.
    """

    sender: str
    base_version: int
    version: int
    diff: Difference


Message = (
    Report
    | Grant
    | Gossip
    | ConfigRequest
    | ConfigReply
    | LoadMessage
    | LoadDigest
    | TableNews
    | StreamStarts
    | StreamsToRecord
    | OriginRequest
    | OriginReply
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode_message(data: bytes) -> Message:
    """Decode a message.

    :raises DocumentError: if the bytes are not a valid message.

    >>> decode_message(encode_message(ConfigRequest("a", 3)))
    ConfigRequest(sender='a', known_version=3)
    """
    return decode_document(_DECODER, data, "message of another router")
