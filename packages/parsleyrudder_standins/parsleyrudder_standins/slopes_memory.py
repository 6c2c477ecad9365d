"""Memory of plain data, for the growth measurements."""

import gc
import sys
from types import FunctionType, ModuleType

__all__ = ["deep_size"]


def deep_size(*roots: object) -> int:
    """Return the bytes of all objects that some objects refer to, each counted once."""
    seen: set[int] = set()
    stack: list[object] = list(roots)
    total = 0
    while stack:
        item = stack.pop()
        if id(item) in seen or isinstance(item, type | ModuleType | FunctionType):
            continue
        seen.add(id(item))
        total += sys.getsizeof(item)
        stack.extend(gc.get_referents(item))
    return total
