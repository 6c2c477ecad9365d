"""Messages between routers, encoded as MessagePack arrays.

Each message except :class:`TableNews` names its sender; :class:`Report` and :class:`LoadMessage`
also carry the sender's incarnation. The adapters handle transport and authentication. A message
that fails to decode raises an error; it is never accepted in part.
"""

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
    "PromptPart",
    "ReadParts",
    "Report",
    "RouterInfo",
    "RouterState",
    "TableNews",
    "decode_message",
    "encode_message",
]


class _Part(msgspec.Struct, array_like=True, frozen=True):
    """Base class of the structs nested in messages."""


class _Message(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of the messages."""


class MemberReport(_Part, frozen=True):
    """State of one member's calls at one router, in one pool.

    :ivar served: cost served since the router's incarnation began.
    :ivar admitted: calls admitted since the router's incarnation began.
    :ivar running: calls at servers.
    :ivar waiting: calls that wait for a slot.
    :ivar rest: estimated cost that the running calls have still to accrue.
    """

    member: str
    served: float
    admitted: int
    running: int
    waiting: int
    rest: float


class Carried(_Part, frozen=True):
    """A virtual time received from the previous coordinator, for its successor.

    :ivar counted: the sender's own ``served`` that this virtual time includes.
    :ivar admitted: the sender's own ``admitted`` that the previous coordinator has counted.
    """

    member: str
    vt: float
    counted: float
    admitted: int


class Holding(_Part, frozen=True):
    """What a router holds of one resource (a server's slots or a member's concurrency).

    :ivar least: least number used at any time since the report before.
    """

    name: str
    held: int
    used: int
    least: int = 0


class Report(_Message, frozen=True):
    """Report of one router to the coordinator of a pool.

    :ivar seq: grows with each report of one incarnation.
    :ivar epoch: epoch of the coordinator that the router follows; 0 for none.
    :ivar grant: number of the last grant of that epoch that the router has applied.
    :ivar heard: newest of the sender's reports that a grant of that epoch has answered; 0 for none.
    :ivar table_up: whether the router reaches the table service.
    :ivar finished: calls finished since the router's incarnation began.
    :ivar finished_cost: cost of these calls.
    :ivar carried: what the previous coordinator said last; sent until a new one has answered.
    :ivar floor: lowest virtual time of the contending members, as the sender knows it.
    :ivar granted_epoch: epoch of the last grant that the sender has applied; 0 for none.
    """

    pool: str
    sender: str
    incarnation: int
    seq: int
    epoch: int
    grant: int
    heard: int
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

    :ivar vt: virtual time: service received divided by share, in cost units.
    :ivar served: cost served; grows, used for cost limits.
    :ivar admitted: calls admitted; grows, used for rate limits.
    :ivar running: calls at servers.
    """

    member: str
    vt: float
    served: float
    admitted: int
    running: int


class Grant(_Message, frozen=True):
    """Answer of the coordinator of a pool.

    :ivar epoch: epoch of the coordinator's lease.
    :ivar number: grows with each change of the portions of one router in one epoch. A grant that
        repeats a number renews the lease and brings newer totals, but sets no portions, so that a
        repeat that arrives late can't undo a release.
    :ivar answers: sequence number of the report whose sending starts the portions' lease.
    :ivar incarnation: incarnation of the router that is addressed.
    :ivar lease_s: length of the portions' lease in seconds.
    :ivar target: slots that the router should hold; it releases the rest as they become idle.
    :ivar slots: server and slots that the router may hold; a server not named has none.
    :ivar concurrency: member and calls that the router may run.
    :ivar contended: whether calls wait anywhere for which no slot is left.
    :ivar floor: lowest virtual time of the contending members.
    :ivar quantum: cost that one slot is taken to serve in the order of members.
    :ivar routers: routers that report to the coordinator; they share each burst of a rate limit.
    """

    pool: str
    sender: str
    epoch: int
    number: int
    answers: int
    incarnation: int
    lease_s: float
    target: int
    slots: tuple[tuple[str, int], ...]
    concurrency: tuple[tuple[str, int], ...]
    totals: tuple[MemberTotal, ...]
    contended: bool
    floor: float
    quantum: float
    routers: int = 1


class RouterState(_Part, frozen=True):
    """Age and state of one router, as the sender of a gossip message knows it.

    :ivar heartbeat: counter that only the router itself increases.
    """

    name: str
    incarnation: int
    heartbeat: int
    leaving: bool


class RouterInfo(_Part, frozen=True):
    """What a router tells about itself at registration."""

    name: str
    incarnation: int
    failure_domain: str
    peer_address: str
    caller_url: str


class Gossip(_Message, frozen=True):
    """Version digest and view of the sender.

    :ivar version: version of the sender's configuration.
    :ivar table_up: whether the sender reaches the table service.
    :ivar reply: whether the receiver should answer with its own gossip.
    :ivar routers: full information, for routers that the receiver may not know.
    :ivar states: a part of the sender's view, with the sender first.
    :ivar leaving_servers: ids of servers that are leaving, each with the seconds since a router
        read it from the instance list or the table.
    :ivar wants_info: whether the sender has heard of routers whose information it lacks.
    """

    sender: str
    version: int
    table_up: bool
    reply: bool
    states: tuple[RouterState, ...]
    routers: tuple[RouterInfo, ...] = ()
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


class ReadParts(_Part, frozen=True):
    """Shared parts of a prompt that the sender has just sent to a target, in prompt order.

    :ivar lifetime: lifetime of the target; see :attr:`Target.lifetime`.
    """

    lifetime: str
    parts: tuple[PromptPart, ...]


class LoadMessage(_Message, frozen=True):
    """Load and usage by the requests of one router; each message replaces the previous one.

    :ivar sequence: increases with each message of an incarnation; older messages are dropped.
    :ivar accepts_requests: whether callers may be referred to this router.
    :ivar long_prompt_tokens: decaying sum of the tokens of long prompts; see :class:`PromptVolume`.
    :ivar all_prompt_tokens: decaying sum of the tokens of all prompts.
    :ivar sent_parts: prompt parts sent to targets since the previous message; they are not repeated
        if the message is lost.
    """

    sender: str
    incarnation: int
    sequence: int
    accepts_requests: bool
    load_by_target: dict[str, LoadReport] = {}
    usage_by_organisation: dict[str, OrganisationUsage] = {}
    long_prompt_tokens: float = 0.0
    all_prompt_tokens: float = 0.0
    sent_parts: tuple[ReadParts, ...] = ()


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


Message = Report | Grant | Gossip | ConfigRequest | ConfigReply | LoadMessage | TableNews

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
