"""Exit codes of parsleyctl, for scripts."""

from enum import IntEnum

__all__ = ["Exit"]


class Exit(IntEnum):
    """Exit code of a command."""

    OK = 0
    REFUSED = 1
    """A list is wrong; every fault has been printed."""
    USAGE = 2
    """The command line is wrong."""
    CONFLICT = 3
    """A newer version was accepted first; nothing was changed."""
    UNAVAILABLE = 4
    """The table service or a router did not answer."""
    DIFFERENT = 5
    """The lists differ from the accepted ones (``diff``)."""
    INCOMPLETE = 6
    """Not every router enforced the version in time (``submit --wait_s``), or the logs hold no line
    of the request (``explain``)."""
