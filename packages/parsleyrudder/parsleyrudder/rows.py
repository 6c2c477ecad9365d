"""Conversion of parsed TOML tables into structs, field by field, so that every fault is found.

``msgspec.convert`` alone stops at the first fault. A field's remedy is the ``description`` of its
``msgspec.Meta``; the value of a field with ``extra={"secret": True}`` is never shown.
"""

from dataclasses import dataclass
from typing import Any, TypeVar, get_args, get_origin

import msgspec

__all__ = ["RowFault", "convert_row"]

_T = TypeVar("_T", bound=msgspec.Struct)
_REMEDY_BY_TYPE = {
    bool: "write true or false",
    float: "write a number",
    int: "write a whole number",
    str: "write a text in quotes",
}
_LONGEST_SHOWN = 80


@dataclass(slots=True, frozen=True)
class RowFault:
    """A fault of one field.

    :ivar path: place of the field, such as ``pools[0].servers[1].window``.
    """

    path: str
    message: str
    remedy: str


def convert_row(raw: Any, path: str, row_type: type[_T]) -> tuple[_T | None, list[RowFault]]:
    """Convert one table; fields that are structs or tuples of structs are converted likewise.

    :param path: place of the table, with which the paths of its faults begin; may be empty.
    :returns: the struct, or None if there are faults; and all faults.

    >>> class Point(msgspec.Struct):
    ...     x: int
    ...     y: int = 0
    >>> convert_row({"x": 1}, "p", Point)
    (Point(x=1, y=0), [])
    >>> [(fault.path, fault.message) for fault in convert_row({"z": 1}, "p", Point)[1]]
    [('p.z', 'unknown field, found 1'), ('p.x', 'missing')]
    """
    if not isinstance(raw, dict):
        return None, [RowFault(path, f"not a table, found {_shown(raw)}", "write a table")]
    fields = msgspec.structs.fields(row_type)
    known = [field.name for field in fields]
    prefix = f"{path}." if path else ""
    faults = [
        RowFault(
            prefix + name,
            f"unknown field, found {_shown(raw[name])}",
            f"use only {', '.join(sorted(known))}",
        )
        for name in raw
        if name not in known
    ]
    values = {}
    for field in fields:
        place = prefix + field.name
        if field.name in raw:
            value, found = _convert(raw[field.name], place, field.type)
            values[field.name] = value
            faults += found
        elif field.required:
            faults.append(RowFault(place, "missing", "add the field"))
    return (None if faults else row_type(**values)), faults


def _convert(raw: Any, path: str, type_: Any) -> tuple[Any, list[RowFault]]:
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return convert_row(raw, path, type_)
    item = get_args(type_)[0] if get_origin(type_) is tuple else None
    if isinstance(item, type) and issubclass(item, msgspec.Struct):
        if not isinstance(raw, list):
            return None, [RowFault(path, f"not an array, found {_shown(raw)}", "write an array")]
        pairs = [convert_row(row, f"{path}[{i}]", item) for i, row in enumerate(raw)]
        return tuple(row for row, _ in pairs), [fault for _, found in pairs for fault in found]
    try:
        return msgspec.convert(raw, type_), []
    except msgspec.ValidationError as error:
        remedy, secret = _hints(type_)
        shown = f"{len(str(raw))} characters" if secret else _shown(raw)
        text = str(error).replace("`", "")
        return None, [RowFault(path, f"found {shown}: {text}", remedy)]


def _hints(type_: Any) -> tuple[str, bool]:
    """Return the remedy for a type, and whether its values are secret."""
    for part in (type_, *getattr(type_, "__metadata__", ())):
        if isinstance(part, msgspec.Meta) and part.description:
            return part.description, bool((part.extra or {}).get("secret"))
    plain = getattr(type_, "__origin__", type_)
    if get_args(type_) and all(isinstance(arg, str) for arg in get_args(type_)):
        return f"use one of {', '.join(get_args(type_))}", False
    return _REMEDY_BY_TYPE.get(plain, "write a value of the right type"), False


def _shown(raw: Any) -> str:
    text = repr(raw)
    return text if len(text) <= _LONGEST_SHOWN else text[:_LONGEST_SHOWN] + "..."
