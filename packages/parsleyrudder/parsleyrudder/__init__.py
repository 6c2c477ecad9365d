"""Decision logic of the parsleyrudder router fleet, free of I/O.

The package uses no sockets, threads, clocks, logging or randomness of its own: its state machines
take typed messages and the time in seconds, and return typed messages.
"""

from . import (
    admission,
    backends,
    decoding,
    delivery,
    errors,
    feeds,
    lists,
    membership,
    messages,
    outcomes,
    placement,
    routes,
    routing,
    sharing,
    struct_conversion,
    table,
    targets,
)
from .admission import *  # noqa: F403
from .backends import *  # noqa: F403
from .decoding import *  # noqa: F403
from .delivery import *  # noqa: F403
from .errors import *  # noqa: F403
from .feeds import *  # noqa: F403
from .lists import *  # noqa: F403
from .membership import *  # noqa: F403
from .messages import *  # noqa: F403
from .outcomes import *  # noqa: F403
from .placement import *  # noqa: F403
from .routes import *  # noqa: F403
from .routing import *  # noqa: F403
from .sharing import *  # noqa: F403
from .struct_conversion import *  # noqa: F403
from .table import *  # noqa: F403
from .targets import *  # noqa: F403

__all__ = [
    *admission.__all__,
    *backends.__all__,
    *decoding.__all__,
    *delivery.__all__,
    *errors.__all__,
    *feeds.__all__,
    *lists.__all__,
    *membership.__all__,
    *messages.__all__,
    *outcomes.__all__,
    *placement.__all__,
    *routes.__all__,
    *routing.__all__,
    *struct_conversion.__all__,
    *sharing.__all__,
    *table.__all__,
    *targets.__all__,
]
