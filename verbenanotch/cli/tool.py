"""Entry point of the command-line tool, `verbenanotch`."""

import click

from verbenanotch.cli.commands import status, submit

COMMANDS = (submit, status)


@click.group()
def main():
    """Operate a mesh: check and submit files, watch versions and targets."""


for _module in COMMANDS:
    main.add_command(_module.command)


if __name__ == "__main__":
    main()
