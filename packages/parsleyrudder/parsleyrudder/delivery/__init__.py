"""Delivery of calls to servers: attempts, retries, outcomes, idempotency keys and streams."""

from .calls import AttemptEnd, Call, Retry
from .event_filter import EventFilter
from .fleet_budget import FleetRetryBudget, FleetRetryLimits
from .keys import (
    KEYS_PREFIX,
    KeyBatcher,
    KeyFree,
    KeyLimits,
    KeyReplay,
    KeyRow,
    KeyState,
    KeyWrite,
    expired_row_deletes,
    is_valid_key,
    key_path,
    key_txn,
    lost_row,
    request_digest,
    resolve_repeat,
    result_row,
)
from .relays import RelayedRequest, SendEnd
from .retries import RetryBudget
from .stream_origins import (
    STREAM_KEY_BYTES,
    OriginEvidence,
    OriginInquiry,
    StreamOrigins,
    stream_key,
)
from .streams import CompletionStream, StreamPart
from .version_history import PoolVersion, VersionHistory

__all__ = [
    "KEYS_PREFIX",
    "STREAM_KEY_BYTES",
    "AttemptEnd",
    "Call",
    "CompletionStream",
    "EventFilter",
    "FleetRetryBudget",
    "FleetRetryLimits",
    "KeyBatcher",
    "KeyFree",
    "KeyLimits",
    "KeyReplay",
    "KeyRow",
    "KeyState",
    "KeyWrite",
    "OriginEvidence",
    "OriginInquiry",
    "PoolVersion",
    "RelayedRequest",
    "Retry",
    "RetryBudget",
    "SendEnd",
    "StreamOrigins",
    "StreamPart",
    "VersionHistory",
    "expired_row_deletes",
    "is_valid_key",
    "key_path",
    "key_txn",
    "lost_row",
    "request_digest",
    "resolve_repeat",
    "result_row",
    "stream_key",
]
