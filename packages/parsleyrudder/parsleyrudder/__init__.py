"""Decision code of the parsleyrudder router fleet.

It has no sockets, threads, clocks, logging or randomness of its own: its state machines take typed
messages and the time in seconds, and return typed messages.
"""

from . import (
    backends,
    delivery,
    errors,
    lists,
    membership,
    messages,
    outcomes,
    placement,
    routing,
    rows,
    sharing,
    table,
)
from .backends import *  # noqa: F403
from .delivery import *  # noqa: F403
from .errors import *  # noqa: F403
from .lists import *  # noqa: F403
from .membership import *  # noqa: F403
from .messages import *  # noqa: F403
from .outcomes import *  # noqa: F403
from .placement import *  # noqa: F403
from .routing import *  # noqa: F403
from .rows import *  # noqa: F403
from .sharing import *  # noqa: F403
from .table import *  # noqa: F403

__all__ = [
    *backends.__all__,
    *delivery.__all__,
    *errors.__all__,
    *lists.__all__,
    *membership.__all__,
    *messages.__all__,
    *outcomes.__all__,
    *placement.__all__,
    *routing.__all__,
    *rows.__all__,
    *sharing.__all__,
    *table.__all__,
]
