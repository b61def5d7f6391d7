"""Check a mesh file without a control host."""

import sys

import attrs
import click

from verbenanotch.catalog import parse_mesh
from verbenanotch.cli import _options
from verbenanotch.cli.commands.submit import read_file
from verbenanotch.cli.exceptions import EXIT_INVALID
from verbenanotch.documents import Invalid, Valid


def check_text(text):
    """Check the bytes of a mesh file; return the result as JSON values."""
    match parse_mesh(text):
        case Valid(value=mesh):
            return {
                "kind": "valid",
                "mesh": mesh.name,
                "services": len(mesh.services_by_name),
                "routes": len(mesh.routes_by_name),
            }
        case Invalid(problems=problems):
            return {
                "kind": "rejected",
                "reason": "the file is invalid",
                "problems": [attrs.asdict(problem) for problem in problems],
                "remedy": "Correct the file and check it again.",
            }


@click.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@_options.json_option
@_options.reports_errors
def command(file, as_json):
    """Check FILE and report every problem in it.

    Exits with 0 if the file is valid and with 2 if not.
    """
    value = check_text(read_file(file))
    if as_json:
        _options.print_json(value)
    elif value["kind"] == "valid":
        click.echo(
            f"valid: mesh {value['mesh']}, {value['services']} services, "
            f"{value['routes']} routes"
        )
    else:
        click.echo(_options.describe_refusal(value), err=True)
    if value["kind"] != "valid":
        sys.exit(EXIT_INVALID)
