"""Exceptions of parsleyrudder.

Every exception has a stable ``code`` and a ``remedy``; its text ends with the remedy.
"""

__all__ = [
    "DocumentError",
    "ListError",
    "RudderError",
    "SettingsError",
    "TableError",
]


class RudderError(Exception):
    """Base class of all exceptions that parsleyrudder raises intentionally.

    :param message: description of the problem, including the invalid value.
    :param remedy: what the user can do about it.
    """

    code = "error"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(RudderError):
    """A field of a settings file is missing, unknown or invalid."""

    code = "bad_settings"


class DocumentError(RudderError):
    """A document that another program has written is invalid, so it is ignored as a whole.

    :param source: where the document is from, such as the key of its row.
    """

    code = "bad_document"

    def __init__(self, source: str, message: str) -> None:
        super().__init__(f"{source}: {message}", "correct it where it is written")


class ListError(RudderError):
    """A row of the member list or the plan list is invalid.

    :param path: location of the error, such as ``members.toml: member[3].share``.
    """

    code = "bad_list"

    def __init__(self, path: str, message: str, remedy: str) -> None:
        super().__init__(f"{path}: {message}", remedy)
        self.path = path


class TableError(RudderError):
    """A request to the table service failed.

    :ivar maybe_applied: whether the write of the failed request may still have taken effect.
    """

    code = "table_unavailable"

    def __init__(self, message: str, remedy: str, maybe_applied: bool = False) -> None:
        super().__init__(message, remedy)
        self.maybe_applied = maybe_applied
