"""Entry point of the command-line tool, `verbenanotch`."""

import os
import warnings

# Loading the catalogue of events imports packages that use eventlet. Its DNS
# resolver and its deprecation warning are disabled: the tool itself runs no
# event loop, and all addresses are IP addresses.
os.environ["EVENTLET_NO_GREENDNS"] = "yes"
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import click  # noqa: E402

from verbenanotch.cli.commands import (  # noqa: E402
    check,
    diff,
    drain,
    events,
    explain,
    history,
    rollback,
    rollout,
    status,
    submit,
    targets,
    timeline,
    voters,
)

COMMANDS = (
    check,
    submit,
    diff,
    history,
    rollback,
    rollout,
    status,
    targets,
    drain,
    explain,
    timeline,
    events,
    voters,
)


@click.group()
def main():
    """Operate a mesh: check and submit files, show versions and targets."""


for _module in COMMANDS:
    main.add_command(_module.command)


if __name__ == "__main__":
    main()
