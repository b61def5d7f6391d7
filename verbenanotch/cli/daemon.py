"""Entry point of the daemon, `verbenanotchd`.

SIGHUP is ignored before anything else, as its default action would end a
daemon that is starting; settings that change meanwhile are found by the
periodic check. Eventlet's monkey patches must precede all other imports.
Eventlet's DNS resolver is disabled because all addresses are IP addresses.
Locks are not patched: there is only one thread, no code waits while it holds a
lock (the log writes without waiting), and the patch inspects every object of
the process. Garbage collection is disabled here; `verbenanotch.daemon.run`
enables it when the daemon has started.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc  # noqa: E402
import os  # noqa: E402
import warnings  # noqa: E402

gc.disable()

os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch(thread=False)

import importlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402

from verbenanotch import conf  # noqa: E402
from verbenanotch.documents import Invalid, Valid  # noqa: E402

EXIT_INVALID_SETTINGS = 2
# A file that is being replaced is whole again within this time.
SETTINGS_WAIT_SECONDS = 2.0
SETTINGS_POLL_SECONDS = 0.05
# The patched one would start the event loop, whose turns aren't bounded yet.
sleep = eventlet.patcher.original("time").sleep


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False),
    help="TOML file with the settings of this process.",
)
@click.option(
    "--check",
    "check_only",
    is_flag=True,
    help="Check the settings and exit without starting.",
)
@click.option(
    "--interfaces",
    "interfaces_module",
    default="verbenanotch.daemon",
    show_default=True,
    help="Module whose `interfaces` serve operators and targets.",
)
def main(settings_path, check_only, interfaces_module):
    """Run one process of the mesh with the given settings file."""
    result = conf.load(settings_path)
    if isinstance(result, Invalid) and not check_only:
        result = _wait_for_settings(settings_path)
    match result:
        case Invalid(problems=problems):
            for problem in problems:
                click.echo(f"{settings_path}: {problem}", err=True)
            sys.exit(EXIT_INVALID_SETTINGS)
        case Valid(value=settings):
            if check_only:
                click.echo(f"{settings_path}: the settings are valid")
                return
            _run(settings, settings_path, interfaces_module)


def _wait_for_settings(path):
    """Return the result of loading a file that may just be replaced.

    A process that waits serves nobody, so that a signal ends it at once.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(0))
    end = time.monotonic() + SETTINGS_WAIT_SECONDS
    while True:
        sleep(SETTINGS_POLL_SECONDS)
        result = conf.load(path)
        if isinstance(result, Valid) or time.monotonic() >= end:
            return result


def _run(settings, settings_path, interfaces_module):
    """Run the daemon and exit with its code.

    `verbenanotch.daemon` is imported here so that `--check` doesn't load it.
    """
    from verbenanotch import daemon, loop

    loop.bound_turns()
    interfaces = importlib.import_module(interfaces_module).interfaces
    code = daemon.run(
        settings,
        interfaces=interfaces,
        reload=conf.Reloader(settings_path).load,
    )
    # The interpreter restores the default actions some time before its end.
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)
    sys.exit(code)


if __name__ == "__main__":
    main()
