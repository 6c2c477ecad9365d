"""Lists of members and plans that operators edit: model, validation, differences and storage."""

from .difference import (
    Difference,
    apply_difference,
    compose_differences,
    describe_difference,
    difference,
)
from .layout import (
    Accepted,
    ConfigHead,
    Conflict,
    LogEntry,
    decode_config,
    decode_head,
    decode_log,
    read_config_txn,
    read_head_txn,
    read_log_txn,
    submit_result,
    submit_txn,
)
from .model import Config, Member, Plan, key_digest
from .parse import check_config, parse_members, parse_plans

__all__ = [
    "Accepted",
    "Config",
    "ConfigHead",
    "Conflict",
    "Difference",
    "LogEntry",
    "Member",
    "Plan",
    "apply_difference",
    "check_config",
    "compose_differences",
    "decode_config",
    "decode_head",
    "decode_log",
    "describe_difference",
    "difference",
    "key_digest",
    "parse_members",
    "parse_plans",
    "read_config_txn",
    "read_head_txn",
    "read_log_txn",
    "submit_result",
    "submit_txn",
]
