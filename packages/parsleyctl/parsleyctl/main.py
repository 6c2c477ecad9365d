"""Command line for operators of a parsleyrudder fleet.

usage: parsleyctl [flags] COMMAND [argument]

The two lists, members.toml and plans.toml, in a folder under version control:
  validate [FOLDER]    check both lists; all faults are shown at once
  diff [FOLDER]        show what a submission would change (exit code 5 if anything)
  fetch [FOLDER]       write the accepted lists to files
  submit [FOLDER]      submit both lists as one new version; with --wait_s, wait until every
                       router enforces it
  history              accepted versions: who, when, what changed

The running fleet:
  status               routers, pools, members' service received and waiting calls
  drain ID             take a server or a router out of use
  undrain ID           take it back into use
  audit                operators' actions on the fleet

Afterwards, from the routers' logs:
  explain ID FILE...   show the log lines of one request and why it ended

Exit codes: 0 done, 1 lists refused, 2 wrong command line, 3 conflict with a newer version,
4 table service or router unavailable, 5 lists differ, 6 version not in force in time, or no
line of the request in the logs.

Example: change a share and wait until every router enforces it.
  parsleyctl --table=10.0.0.5:2379 fetch lists
  $EDITOR lists/members.toml
  parsleyctl --table=10.0.0.5:2379 diff lists
  parsleyctl --table=10.0.0.5:2379 --routers=10.0.1.1:8100,10.0.1.2:8100 --wait_s=10 submit lists
"""

import getpass
import sys
from collections.abc import Callable
from pathlib import Path

from absl import app, flags
from parsleyrudder import ListError, RudderError, TableError
from parsleyrudder_adapters.etcd import BlockingEtcdTable

from . import fleet_commands, list_commands
from .exits import Exit
from .explain import LogFileError, explain
from .output import Output

__all__ = ["run"]

_TABLE = flags.DEFINE_string("table", "127.0.0.1:2379", "Table service, host:port.")
_ROUTERS = flags.DEFINE_list("routers", [], "Callers' addresses of the routers, host:port each.")
_POOLS = flags.DEFINE_list("pools", [], "Pools of the fleet; plans may name no others.")
_JSON = flags.DEFINE_bool("json", False, "Print one JSON document instead of tables.")
_AUTHOR = flags.DEFINE_string("author", None, "Who submits; the login name by default.")
_BASE = flags.DEFINE_integer("base", None, "Version that the change is based on.")
_WAIT_S = flags.DEFINE_float("wait_s", 0.0, "Seconds to wait for the routers after a submission.")
_AFTER = flags.DEFINE_integer("after", 0, "History after this version.")
_LIMIT = flags.DEFINE_integer("limit", 20, "Entries to show at most.", lower_bound=1)

_DEFAULT_FOLDER = "."


def run() -> None:
    """Run one command and exit with its code."""
    # absl prints the docstring of __main__ as help, but __main__ is a generated entry script.
    flag_help = flags.FLAGS.module_help(__name__)
    sys.modules["__main__"].__doc__ = f"{__doc__}\nFlags:\n{flag_help}"
    app.run(_main)


def _main(argv: list[str]) -> int:
    output = Output(_JSON.value)
    name, arguments = (argv[1], argv[2:]) if len(argv) > 1 else ("", [])
    command = _COMMANDS.get(name)
    if command is None or (len(arguments) > 1 and name != "explain"):
        print(__doc__, file=sys.stderr)
        return Exit.USAGE
    if name in ("drain", "undrain") and not arguments:
        output.errors([ValueError(f"{name} needs the id of a server or router")])
        return Exit.USAGE
    if name == "explain" and len(arguments) < 2:
        output.errors([ValueError("explain needs the id of a request and the logs to read")])
        return Exit.USAGE
    try:
        return command(output, arguments)
    except TableError as error:
        output.errors([error])
        return Exit.UNAVAILABLE
    except OSError as error:
        output.errors([error])
        return Exit.UNAVAILABLE
    except LogFileError as error:
        output.errors([error])
        return Exit.USAGE
    except RudderError as error:
        output.errors([error])
        return Exit.REFUSED
    except ExceptionGroup as group:
        list_errors, other_errors = group.split(ListError)
        if other_errors is not None:
            raise
        output.errors(_flatten(list_errors))
        return Exit.REFUSED


def _flatten(group: BaseExceptionGroup | None) -> list[BaseException]:
    errors: list[BaseException] = []
    for error in group.exceptions if group else ():
        errors += _flatten(error) if isinstance(error, BaseExceptionGroup) else [error]
    return errors


def _folder(arguments: list[str]) -> Path:
    return Path(arguments[0] if arguments else _DEFAULT_FOLDER)


def _pools() -> frozenset[str] | None:
    return frozenset(_POOLS.value) or None


def _author() -> str:
    return _AUTHOR.value or getpass.getuser()


def _table() -> BlockingEtcdTable:
    return BlockingEtcdTable(str(_TABLE.value))


def _wait_for_routers(output: Output, version: int) -> Exit:
    if not _WAIT_S.value:
        return Exit.OK
    return fleet_commands.wait_for_version(output, _ROUTERS.value, version, _WAIT_S.value)


def _submit(output: Output, arguments: list[str]) -> Exit:
    return list_commands.submit_lists(
        output,
        _table(),
        _folder(arguments),
        _author(),
        _BASE.value,
        _pools(),
        lambda version: _wait_for_routers(output, version),
    )


_COMMANDS: dict[str, Callable[[Output, list[str]], Exit]] = {
    "validate": lambda out, args: list_commands.validate(out, _folder(args), _pools()),
    "diff": lambda out, args: list_commands.diff(out, _table(), _folder(args)),
    "fetch": lambda out, args: list_commands.fetch(out, _table(), _folder(args)),
    "submit": _submit,
    "history": lambda out, args: list_commands.history(out, _table(), _AFTER.value, _LIMIT.value),
    "status": lambda out, args: fleet_commands.status(out, _ROUTERS.value),
    "drain": lambda out, args: fleet_commands.drain(out, _table(), args[0], _author(), False),
    "undrain": lambda out, args: fleet_commands.drain(out, _table(), args[0], _author(), True),
    "explain": lambda out, args: explain(out, args[0], [Path(name) for name in args[1:]]),
    "audit": lambda out, args: fleet_commands.audit(out, _table(), _LIMIT.value),
}
