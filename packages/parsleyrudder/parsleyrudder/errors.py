"""The errors of parsleyrudder, under one root.

Every error has a stable ``code`` and a ``remedy``; its text ends with the remedy.
"""

__all__ = [
    "ListError",
    "RudderError",
    "SettingsError",
    "TableError",
]


class RudderError(Exception):
    """Root of all errors that parsleyrudder raises on purpose.

    :param message: what is wrong, with the value found.
    :param remedy: what the reader can do about it.
    """

    code = "error"

    def __init__(self, message: str, remedy: str) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class SettingsError(RudderError):
    """A field of a settings file is missing, unknown or out of range."""

    code = "bad_settings"


class ListError(RudderError):
    """A row of one of the two lists is wrong.

    :param path: place of the fault, such as ``members.toml: member[3].share``.
    """

    code = "bad_list"

    def __init__(self, path: str, message: str, remedy: str) -> None:
        super().__init__(f"{path}: {message}", remedy)
        self.path = path


class TableError(RudderError):
    """The table service did not answer a request.

    :ivar maybe_applied: whether a write may have taken effect all the same.
    """

    code = "table_unavailable"

    def __init__(self, message: str, remedy: str, maybe_applied: bool = False) -> None:
        super().__init__(message, remedy)
        self.maybe_applied = maybe_applied
