"""The two lists that operators edit: model, checks, differences and their place in the table."""

from .difference import Difference, apply_difference, compose, describe, difference
from .layout import (
    Accepted,
    Conflict,
    Head,
    LogEntry,
    decode_config,
    decode_head,
    decode_log,
    read_config,
    read_head,
    read_log,
    submit,
    submit_result,
)
from .model import Config, Member, Plan, key_digest
from .parse import check_config, parse_members, parse_plans

__all__ = [
    "Accepted",
    "Config",
    "Conflict",
    "Difference",
    "Head",
    "LogEntry",
    "Member",
    "Plan",
    "apply_difference",
    "check_config",
    "compose",
    "decode_config",
    "decode_head",
    "decode_log",
    "describe",
    "difference",
    "key_digest",
    "parse_members",
    "parse_plans",
    "read_config",
    "read_head",
    "read_log",
    "submit",
    "submit_result",
]
