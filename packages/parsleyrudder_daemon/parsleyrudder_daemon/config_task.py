"""Keeps the active configuration current, from the table or from peers."""

import logging
from collections.abc import Callable

from parsleyrudder import (
    Config,
    ConfigReply,
    ConfigRequest,
    ConfigState,
    TableError,
    TxnResult,
    decode_config,
    decode_head,
    decode_log,
    read_config_txn,
    read_head_txn,
    read_log_txn,
    rendezvous,
)
from parsleyrudder_adapters.logs import log_event

from .context import Context

__all__ = ["ConfigTask"]

_LOGGER = logging.getLogger(__name__)
_READ_INTERVAL_S = 1.0
_TABLE_READERS = 2
_MAX_UNCONFIRMED_S = 5.0


class ConfigTask:
    """Maintains the active configuration of this router.

    Only a few routers, chosen by rendezvous hashing, read the table at each interval; the others
    read it when their version has not been confirmed for some time.

    :param on_change: called after a new version has become active.
    """

    def __init__(self, context: Context, on_change: Callable[[], None]) -> None:
        self._context = context
        self._on_change = on_change
        self._state = ConfigState(context.name, context.config, context.now())
        self._read_pending = False

    @property
    def age_s(self) -> float:
        """Seconds since the active version was last confirmed to be the newest."""
        return self._context.now() - self._state.confirmed_at

    def start(self) -> None:
        """Read the table now and start the periodic reads."""
        self._context.timers.every(_READ_INTERVAL_S, self._read_if_due)
        self._read()

    def on_peer_version(self, peer: str, version: int) -> None:
        """Process the version of a peer, as received by gossip; request changes if it is newer."""
        request = self._state.on_peer_version(version, self._context.now())
        if request is not None:
            self._context.send(peer, request)

    def on_request(self, request: ConfigRequest) -> None:
        """Send changes to a peer whose version is older."""
        reply = self._state.on_request(request)
        if reply is not None:
            self._context.send(request.sender, reply)

    def on_reply(self, reply: ConfigReply) -> None:
        """Apply changes received from a peer."""
        if self._state.on_reply(reply, self._context.now()):
            self._publish_config(f"peer:{reply.sender}")

    def _read_if_due(self) -> None:
        now = self._context.now()
        readers = rendezvous("list-readers", self._context.view.active_routers(now))[
            :_TABLE_READERS
        ]
        unconfirmed = self.age_s >= _MAX_UNCONFIRMED_S or not self._context.config.version
        if self._context.name in readers or unconfirmed:
            self._read()

    def _read(self) -> None:
        if self._read_pending:
            return
        self._read_pending = True
        self._context.table.txn(read_head_txn(), self._on_head)

    def _on_head(self, result: TxnResult | TableError) -> None:
        self._read_pending = False
        self._context.table_health.record_result(not isinstance(result, TableError))
        if isinstance(result, TableError):
            return
        head, _ = decode_head(result.rows[0])
        if not self._state.on_head(head.version, self._context.now()):
            return
        current_version = self._context.config.version
        if current_version:
            self._context.table.txn(read_log_txn(current_version), self._on_log)
        else:
            self._context.table.txn(read_config_txn(), self._on_config)

    def _on_log(self, result: TxnResult | TableError) -> None:
        if isinstance(result, TableError):
            return
        config = self._state.config_after_log(decode_log(result.rows[0]))
        if config is None:
            self._context.table.txn(read_config_txn(), self._on_config)
            return
        self._activate(config, "table")

    def _on_config(self, result: TxnResult | TableError) -> None:
        if not isinstance(result, TableError):
            self._activate(decode_config(result)[0], "table")

    def _activate(self, config: Config, source: str) -> None:
        if self._state.activate(config, self._context.now()):
            self._publish_config(source)

    def _publish_config(self, source: str) -> None:
        self._context.config = self._state.config
        log_event(_LOGGER, "config_in_force", version=self._state.config.version, source=source)
        self._on_change()
