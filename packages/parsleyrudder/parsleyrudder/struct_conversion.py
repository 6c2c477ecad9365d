"""Conversion of parsed TOML tables into structs, field by field, so that all errors are reported.

``msgspec.convert`` alone stops at the first error. A field's remedy is the ``description`` of its
``msgspec.Meta``; the value of a field with ``extra={"secret": True}`` is never shown.
"""

from dataclasses import dataclass
from typing import Any, TypeVar, get_args, get_origin

import msgspec

__all__ = ["FieldError", "convert_struct"]

_T = TypeVar("_T", bound=msgspec.Struct)
_REMEDY_BY_TYPE = {
    bool: "write true or false",
    float: "write a number",
    int: "write a whole number",
    str: "write a string in quotes",
}
_MAX_SHOWN_CHARS = 80


@dataclass(slots=True, frozen=True)
class FieldError:
    """Validation error of one field.

    :ivar path: location of the field, such as ``pools[0].servers[1].window``.
    """

    path: str
    message: str
    remedy: str


def convert_struct(
    raw: Any, path: str, struct_type: type[_T]
) -> tuple[_T | None, list[FieldError]]:
    """Convert one table, including nested structs and tuples of structs.

    :param path: location of the table, used as prefix of the error paths; may be empty.
    :returns: the struct, or None if there are errors; and all errors.

    >>> class Point(msgspec.Struct):
    ...     x: int
    ...     y: int = 0
    >>> convert_struct({"x": 1}, "p", Point)
    (Point(x=1, y=0), [])
    >>> [(error.path, error.message) for error in convert_struct({"z": 1}, "p", Point)[1]]
    [('p.z', 'unknown field, found 1'), ('p.x', 'missing')]
    """
    if not isinstance(raw, dict):
        return None, [
            FieldError(path, f"not a table, found {_shortened_repr(raw)}", "write a table")
        ]
    fields = msgspec.structs.fields(struct_type)
    known = [field.name for field in fields]
    prefix = f"{path}." if path else ""
    errors = [
        FieldError(
            prefix + name,
            f"unknown field, found {_shortened_repr(raw[name])}",
            f"use only {', '.join(sorted(known))}",
        )
        for name in raw
        if name not in known
    ]
    values = {}
    for field in fields:
        field_path = prefix + field.name
        if field.name in raw:
            value, found = _convert(raw[field.name], field_path, field.type)
            values[field.name] = value
            errors += found
        elif field.required:
            errors.append(FieldError(field_path, "missing", "add the field"))
    return (None if errors else struct_type(**values)), errors


def _convert(raw: Any, path: str, type_: Any) -> tuple[Any, list[FieldError]]:
    if isinstance(type_, type) and issubclass(type_, msgspec.Struct):
        return convert_struct(raw, path, type_)
    item = get_args(type_)[0] if get_origin(type_) is tuple else None
    if isinstance(item, type) and issubclass(item, msgspec.Struct):
        if not isinstance(raw, list):
            return None, [
                FieldError(path, f"not an array, found {_shortened_repr(raw)}", "write an array")
            ]
        pairs = [convert_struct(row, f"{path}[{i}]", item) for i, row in enumerate(raw)]
        return tuple(row for row, _ in pairs), [error for _, found in pairs for error in found]
    try:
        return msgspec.convert(raw, type_), []
    except msgspec.ValidationError as error:
        remedy, secret = _remedy_and_secrecy(type_)
        shown = f"{len(str(raw))} characters" if secret else _shortened_repr(raw)
        text = str(error).replace("`", "")
        return None, [FieldError(path, f"found {shown}: {text}", remedy)]


def _remedy_and_secrecy(type_: Any) -> tuple[str, bool]:
    """Return the remedy for an invalid value of a type, and whether its values are secret."""
    for part in (type_, *getattr(type_, "__metadata__", ())):
        if isinstance(part, msgspec.Meta) and part.description:
            return part.description, bool((part.extra or {}).get("secret"))
    plain = getattr(type_, "__origin__", type_)
    if get_args(type_) and all(isinstance(arg, str) for arg in get_args(type_)):
        return f"use one of {', '.join(get_args(type_))}", False
    return _REMEDY_BY_TYPE.get(plain, "write a value of the right type"), False


def _shortened_repr(raw: Any) -> str:
    text = repr(raw)
    return text if len(text) <= _MAX_SHOWN_CHARS else text[:_MAX_SHOWN_CHARS] + "..."
