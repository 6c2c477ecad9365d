"""Memory size of object graphs, for the growth measurements."""

import gc
import sys
from types import FunctionType, ModuleType

__all__ = ["deep_size"]


def deep_size(*roots: object) -> int:
    """Return the bytes of all objects reachable from the roots, each counted once.

    Types, modules and functions are excluded.
    """
    seen: set[int] = set()
    pending: list[object] = list(roots)
    total = 0
    while pending:
        item = pending.pop()
        if id(item) in seen or isinstance(item, type | ModuleType | FunctionType):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        pending.extend(gc.get_referents(item))
    return total
