"""Output of parsleyctl: tables and text, or JSON."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

__all__ = ["Output"]

_WIDTH_WITHOUT_TERMINAL = 120


class Output:
    """Prints results to standard output, errors and progress to standard error.

    :param as_json: print one JSON document instead of tables and text.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        width = None if sys.stdout.isatty() else _WIDTH_WITHOUT_TERMINAL
        self._console = Console(width=width, highlight=False)

    def result(self, document: Any, lines: Iterable[str]) -> None:
        """Print a result: the document as JSON, or else the lines."""
        if self.as_json:
            print(json.dumps(document, indent=2, sort_keys=True))
            return
        for line in lines:
            print(line)

    def table(self, title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
        """Print a table; does nothing in JSON mode."""
        if self.as_json:
            return
        table = Table(title=title, title_justify="left", box=None, pad_edge=False)
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self._console.print(table)

    def errors(self, errors: Iterable[BaseException]) -> None:
        """Print errors to standard error, one per line."""
        for error in errors:
            print(f"parsleyctl: {error}", file=sys.stderr)

    def progress(self, text: str) -> None:
        """Show the progress of a long operation; only if standard error is a terminal."""
        if sys.stderr.isatty():
            print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)

    def clear_progress(self) -> None:
        """Clear the progress line."""
        if sys.stderr.isatty():
            print("\r\x1b[K", end="", file=sys.stderr, flush=True)
