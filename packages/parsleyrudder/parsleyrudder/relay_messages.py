"""Typed messages between the relays of a fleet."""

from enum import StrEnum

from .message_base import BaseMessage, MessagePart

__all__ = [
    "ChangedRow",
    "LoadDigest",
    "LoadMessage",
    "LoadReport",
    "MemberState",
    "OrganisationUsage",
    "OriginReply",
    "OriginRequest",
    "PromptPart",
    "SentParts",
    "StreamStart",
    "StreamStarts",
    "StreamsToRecord",
    "SuspectCrashes",
    "SuspectKind",
    "TableNews",
    "TargetLimit",
]


class LoadReport(MessagePart, frozen=True):
    """Load that one router has put on one target.

    :ivar running: number of requests that were sent and have not ended.
    :ivar pending_prefill_tokens: number of their prompt tokens that the target has yet to prefill.
    """

    running: int
    pending_prefill_tokens: int


class OrganisationUsage(MessagePart, frozen=True):
    """Exponentially decaying sums of the request cost of one organisation at one router.

    :ivar demand: cost of the requests that arrived.
    :ivar usage: cost of the requests that were sent to targets.
    """

    demand: float
    usage: float


class PromptPart(MessagePart, frozen=True):
    """A part of a prompt; parts with equal ids consist of the same tokens."""

    id: str
    tokens: int


class SentParts(MessagePart, frozen=True):
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


class SuspectCrashes(MessagePart, frozen=True):
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


class TargetLimit(MessagePart, frozen=True):
    """Request rate that a target has stated in a response to the sender.

    :ivar lifetime: lifetime of the target; see :attr:`Target.lifetime`.
    :ivar requests_per_s: requests per second that it accepts from all routers together; None if
        the response stated no limit.
    :ivar age_ms: milliseconds since the response.
    """

    lifetime: str
    requests_per_s: float | None
    age_ms: int


class LoadMessage(BaseMessage, frozen=True):
    """Load and usage by the requests of one router; each message replaces the previous one.

    :ivar sequence: increases with each message of an incarnation; older messages are dropped.
    :ivar accepts_requests: whether callers may be referred to this router.
    :ivar long_prompt_tokens: decaying sum of the tokens of long prompts; see :class:`PromptVolume`.
    :ivar all_prompt_tokens: decaying sum of the tokens of all prompts.
    :ivar sent_parts: prompt parts sent to targets since the previous message; they are not repeated
        if the message is lost.
    :ivar suspect_crashes: what may crash targets.
    :ivar target_limits: rate limits that targets have stated recently.
    :ivar leaving_targets: lifetimes of targets that have stated recently that they are leaving.
    :ivar entitled_demand: demand that the sender's callers are entitled to; see
        :meth:`UsageLedger.entitled_by_router`.
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
    leaving_targets: tuple[str, ...] = ()
    entitled_demand: float = 0.0


class MemberState(MessagePart, frozen=True):
    """What a digest tells of each router; see :class:`LoadMessage`.

    :ivar sequence: number of the newest report that the digest includes.
    :ivar age_ms: milliseconds since this report.
    """

    sequence: int
    age_ms: int
    accepts_requests: bool
    entitled_demand: float = 0.0


class LoadDigest(BaseMessage, frozen=True):
    """Sum of the load reports of several routers; each digest replaces the previous one.

    :ivar domain: failure domain of the sender.
    :ivar covers_fleet: whether the sum covers the routers of all failure domains, or those of the
        sender's.
    :ivar members: the routers that are included, by name.

    For the other fields, see :class:`LoadMessage`.
    """

    sender: str
    domain: str
    covers_fleet: bool
    members: dict[str, MemberState] = {}
    load_by_target: dict[str, LoadReport] = {}
    usage_by_organisation: dict[str, OrganisationUsage] = {}
    long_prompt_tokens: float = 0.0
    all_prompt_tokens: float = 0.0
    sent_parts: tuple[SentParts, ...] = ()
    suspect_crashes: tuple[SuspectCrashes, ...] = ()
    target_limits: tuple[TargetLimit, ...] = ()
    leaving_targets: tuple[str, ...] = ()


class ChangedRow(MessagePart, frozen=True):
    """Added or changed row, as read from the store."""

    key: str
    value: bytes
    revision: int


class TableNews(BaseMessage, frozen=True):
    """Changes of a table, forwarded to other routers by a router that watches the table.

    :ivar after: revision after which the changes were made.
    :ivar revision: revision up to which the changes are complete.
    :ivar store_time_s: monotonic time of the store when it responded.
    :ivar includes_changes: whether the message contains the changes; large ones are not forwarded
        but read from the store by each router.
    :ivar removed: revisions of the removals, by the key of the removed row.
    :ivar era: era of the store's revisions; see :class:`FeedPage`.
    """

    table: str
    after: int
    revision: int
    store_time_s: float
    includes_changes: bool = True
    rows: tuple[ChangedRow, ...] = ()
    removed: dict[str, int] = {}
    era: int = 0


class StreamStart(MessagePart, frozen=True):
    """A stream that has brought its first event to its caller.

    :ivar key: key of the request that brought it; see :func:`stream_key`.
    :ivar pool: pool of the target that began the stream.
    :ivar version: software version of this target; see :attr:`Target.version`.
    """

    key: bytes
    pool: str
    version: str


class StreamStarts(BaseMessage, frozen=True):
    """Streams that the sender has begun, or that it hands over because it stops."""

    starts: tuple[StreamStart, ...]


class StreamsToRecord(BaseMessage, frozen=True):
    """Streams that the sender was to write to the store, which it does not reach."""

    starts: tuple[StreamStart, ...]


class OriginRequest(BaseMessage, frozen=True):
    """Question where a stream began.

    :ivar pool: pool in which the stream would go on.
    """

    sender: str
    key: bytes
    pool: str


class OriginReply(BaseMessage, frozen=True):
    """Reply to :class:`OriginRequest`.

    :ivar start: start of the stream; None if the sender does not know it.
    :ivar versions: versions that the targets of the pool have had lately.
    """

    sender: str
    key: bytes
    start: StreamStart | None
    versions: tuple[str, ...]
