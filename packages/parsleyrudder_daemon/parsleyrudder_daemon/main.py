"""Command line of the router daemon."""

import sys

from absl import app, flags
from parsleyrudder import RudderError
from parsleyrudder_adapters.logs import set_up_logging
from parsleyrudder_adapters.settings import load_settings

from .app import RouterApp

__all__ = ["run"]

_SETTINGS = flags.DEFINE_string("settings", None, "TOML file with the settings of this router.")
_CHECK = flags.DEFINE_bool("check", False, "Only check the settings file.")

_EXIT_BAD_SETTINGS = 2


def run() -> None:
    """Run the daemon until it is stopped."""
    flags.mark_flag_as_required("settings")
    app.run(_main)


def _main(argv: list[str]) -> int:
    try:
        settings = load_settings(str(_SETTINGS.value))
    except RudderError as error:
        print(f"parsleyrudder: {error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    except ExceptionGroup as group:
        for setting_error in group.exceptions:
            print(f"parsleyrudder: {setting_error}", file=sys.stderr)
        return _EXIT_BAD_SETTINGS
    if _CHECK.value:
        print(f"{_SETTINGS.value}: valid")
        return 0
    set_up_logging(settings.router.name, settings.router.log_level)
    RouterApp(settings).run()
    return 0
