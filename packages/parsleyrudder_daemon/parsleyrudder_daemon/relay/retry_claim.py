"""The retries of one request out of the retry budget of its pool."""

from collections.abc import Callable

__all__ = ["RetryClaim"]


class RetryClaim:
    """Takes the retries of one request from the budget; one may be reserved ahead.

    :param take: takes a retry from the budget, and returns whether the budget allowed it.
    """

    __slots__ = ("_is_reserved", "_take")

    def __init__(self, take: Callable[[], bool]) -> None:
        self._take = take
        self._is_reserved = False

    def reserve(self) -> bool:
        """Take the retry that is claimed next; return whether the budget allowed it."""
        self._is_reserved = self._take()
        return self._is_reserved

    def claim(self, sent_count: int) -> bool:
        """Take a retry, and return whether the budget allowed it.

        A retry that is reserved is used up first. A request that has not reached any target needs
        no budget.

        :param sent_count: number of targets that the request has been sent to.

        >>> claim = RetryClaim(lambda: False)
        >>> claim.claim(0), claim.claim(1)
        (True, False)
        """
        if sent_count == 0 or self._is_reserved:
            self._is_reserved = False
            return True
        return self._take()
