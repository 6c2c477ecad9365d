"""The active configuration of one router, and its exchange with the table and with peers.

A version is never replaced by a lower one, whichever source it comes from.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..lists import Config, Difference, LogEntry, apply_difference, compose_differences, difference
from ..messages import ConfigReply, ConfigRequest

__all__ = ["ConfigState"]

_MAX_HISTORY = 64


@dataclass(slots=True)
class ConfigState:
    """The active configuration and the recent changes that led to it.

    :param own_name: name of this router.
    :ivar confirmed_at: time at which ``config`` was last known to be the newest version.
    """

    own_name: str
    config: Config = field(default_factory=Config)
    confirmed_at: float = 0.0
    _history: deque[tuple[int, Difference]] = field(
        default_factory=lambda: deque(maxlen=_MAX_HISTORY)
    )

    def activate(self, config: Config, now: float) -> bool:
        """Activate a configuration unless it is older than the active one.

        :returns: whether the active version has changed.
        """
        if config.version < self.config.version:
            return False
        self.confirmed_at = now
        if config.version == self.config.version:
            return False
        self._history.append((self.config.version, difference(self.config, config)))
        self.config = config
        return True

    def on_head(self, version: int, now: float) -> bool:
        """Compare with the newest version in the table; return whether this router is behind."""
        if version <= self.config.version:
            self.confirmed_at = now
            return False
        return True

    def config_after_log(self, entries: Iterable[LogEntry]) -> Config | None:
        """Return the configuration with log entries applied, or None if an entry is missing."""
        config = self.config
        for entry in entries:
            if entry.version <= config.version:
                continue
            if entry.version != config.version + 1:
                return None
            config = apply_difference(config, entry.diff, entry.version)
        return config

    def on_peer_version(self, version: int, now: float) -> ConfigRequest | None:
        """Compare with a peer's version; return the request to send to the peer if it is ahead."""
        have = self.config.version
        if version > have:
            return ConfigRequest(self.own_name, have)
        if version == have and version:
            self.confirmed_at = max(self.confirmed_at, now)
        return None

    def on_request(self, request: ConfigRequest) -> ConfigReply | None:
        """Return the reply to a peer that is behind, or None if it is not.

        The reply has the whole configuration if the history does not reach the peer's version.
        """
        if request.known_version >= self.config.version:
            return None
        base, diff = request.known_version, self._diff_since(request.known_version)
        if diff is None:
            base, diff = 0, difference(Config(), self.config)
        return ConfigReply(self.own_name, base, self.config.version, diff)

    def on_reply(self, reply: ConfigReply, now: float) -> bool:
        """Apply changes from a peer; return whether the active version has changed."""
        if reply.version <= self.config.version or reply.base_version not in (
            0,
            self.config.version,
        ):
            return False
        base = Config() if reply.base_version == 0 else self.config
        return self.activate(apply_difference(base, reply.diff, reply.version), now)

    def _diff_since(self, version: int) -> Difference | None:
        """Return the changes since a version, or None if the history does not reach it."""
        result: Difference | None = None
        for base, diff in self._history:
            if base == version:
                result = diff
            elif result is not None:
                result = compose_differences(result, diff)
        return result if version else None
