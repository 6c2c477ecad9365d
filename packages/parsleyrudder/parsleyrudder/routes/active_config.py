"""The version of the traffic configuration that a router enforces, and when it was confirmed."""

from dataclasses import dataclass

from .model import TrafficConfig

__all__ = ["ActiveTrafficConfig"]


@dataclass(slots=True)
class ActiveTrafficConfig:
    """The newest version read, and the time at which it was last confirmed to be the newest.

    A lower version never replaces a higher one, whichever source it comes from. Times are in
    seconds on a clock that keeps running while the instance is suspended.

    :param max_age_for_keys_s: age of the last confirmation at and above which no key is accepted,
        because the key may have been revoked since.
    :param max_age_for_denials_s: age at and above which no request is denied for an unknown route
        or key, because the route or key may have been added since.
    :ivar confirmed_at: time at which ``config`` was last known to be the newest version.
    """

    max_age_for_keys_s: float
    max_age_for_denials_s: float
    config: TrafficConfig | None = None
    confirmed_at: float = float("-inf")

    def activate(self, config: TrafficConfig) -> bool:
        """Activate a version if it is newer than the active one; return whether it was.

        >>> active = ActiveTrafficConfig(4.0, 1.0)
        >>> [active.activate(TrafficConfig(v, (), {})) for v in (3, 2, 3, 4)]
        [True, False, False, True]
        """
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        return True

    def confirm(self, at: float) -> None:
        """Record that at the given time no version newer than the active one existed."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the time since the last confirmation; infinite before the first one."""
        return now - self.confirmed_at

    def may_use_keys(self, now: float) -> bool:
        """Whether the keys of the active version may still be accepted."""
        return self.age_s(now) < self.max_age_for_keys_s

    def may_deny(self, now: float) -> bool:
        """Whether requests for routes or keys that are not in the active version may be denied."""
        return self.age_s(now) < self.max_age_for_denials_s
