"""Keeps the configuration in force: reads it from the table or hears of it from peers.

A version is never replaced by a lower one, wherever it comes from.
"""

import logging
from collections import deque
from collections.abc import Callable

from parsleyrudder import (
    Config,
    ConfigReply,
    ConfigRequest,
    Difference,
    LogEntry,
    TableError,
    TxnResult,
    apply_difference,
    compose,
    decode_config,
    decode_head,
    decode_log,
    difference,
    read_config,
    read_head,
    read_log,
    rendezvous,
)
from parsleyrudder_adapters.logs import log_event

from .context import Context

__all__ = ["ConfigTask"]

_LOGGER = logging.getLogger(__name__)
_READ_INTERVAL_S = 1.0
_READERS = 2
_HISTORY = 64
_UNCONFIRMED_S = 5.0


class ConfigTask:
    """Owner of the configuration at this router.

    :param on_change: called after each new version.
    """

    def __init__(self, context: Context, on_change: Callable[[], None]) -> None:
        self._context = context
        self._on_change = on_change
        self._history: deque[tuple[int, Difference]] = deque(maxlen=_HISTORY)
        self._confirmed_at = context.now()
        self._reading = False

    @property
    def age_s(self) -> float:
        """Seconds since this version was last known to be the newest."""
        return self._context.now() - self._confirmed_at

    def start(self) -> None:
        """Begin to follow the table."""
        self._context.timers.every(_READ_INTERVAL_S, self._read_if_due)
        self._read()

    def on_peer_version(self, peer: str, version: int) -> None:
        """Hear by gossip which version a peer has."""
        have = self._context.config.version
        if version > have:
            self._context.send(peer, ConfigRequest(self._context.name, have))
        elif version == have and version:
            self._confirmed_at = max(self._confirmed_at, self._context.now())

    def on_request(self, request: ConfigRequest) -> None:
        """Answer a peer that is behind."""
        config = self._context.config
        if request.have >= config.version:
            return
        base, diff = request.have, self._since(request.have)
        if diff is None:
            base, diff = 0, difference(Config(), config)
        reply = ConfigReply(self._context.name, base, config.version, diff)
        self._context.send(request.sender, reply)

    def on_reply(self, reply: ConfigReply) -> None:
        """Take changes from a peer."""
        config = self._context.config
        if reply.version <= config.version or reply.base not in (0, config.version):
            return
        base = Config() if reply.base == 0 else config
        self._adopt(apply_difference(base, reply.diff, reply.version), f"peer:{reply.sender}")

    def _read_if_due(self) -> None:
        now = self._context.now()
        readers = rendezvous("list-readers", self._context.view.staying(now))[:_READERS]
        unconfirmed = self.age_s >= _UNCONFIRMED_S or not self._context.config.version
        if self._context.name in readers or unconfirmed:
            self._read()

    def _read(self) -> None:
        if self._reading:
            return
        self._reading = True
        self._context.table.txn(read_head(), self._on_head)

    def _on_head(self, result: TxnResult | TableError) -> None:
        self._reading = False
        self._context.table_health.note(not isinstance(result, TableError))
        if isinstance(result, TableError):
            return
        head, _ = decode_head(result.rows[0])
        have = self._context.config.version
        if head.version <= have:
            self._confirmed_at = self._context.now()
            return
        if have:
            self._context.table.txn(read_log(have), self._on_log)
        else:
            self._context.table.txn(read_config(), self._on_config)

    def _on_log(self, result: TxnResult | TableError) -> None:
        if isinstance(result, TableError):
            return
        entries = decode_log(result.rows[0])
        if [entry.version for entry in entries] != self._expected_versions(entries):
            self._context.table.txn(read_config(), self._on_config)
            return
        config = self._context.config
        for entry in entries:
            config = apply_difference(config, entry.diff, entry.version)
        if entries:
            self._adopt(config, "table")

    def _expected_versions(self, entries: list[LogEntry]) -> list[int]:
        first = self._context.config.version + 1
        return list(range(first, first + len(entries)))

    def _on_config(self, result: TxnResult | TableError) -> None:
        if not isinstance(result, TableError):
            self._adopt(decode_config(result)[0], "table")

    def _adopt(self, config: Config, source: str) -> None:
        old = self._context.config
        self._confirmed_at = self._context.now()
        if config.version <= old.version:
            return
        self._history.append((old.version, difference(old, config)))
        self._context.config = config
        log_event(_LOGGER, "config_in_force", version=config.version, source=source)
        self._on_change()

    def _since(self, version: int) -> Difference | None:
        """Return the changes after a version, or None if they are not kept that far back."""
        result: Difference | None = None
        for base, diff in self._history:
            if base == version:
                result = diff
            elif result is not None:
                result = compose(result, diff)
        return result if version else None
