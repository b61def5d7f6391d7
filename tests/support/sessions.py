"""Record sessions of operators and callers; compare with golden files."""

import difflib
import os
import pathlib
import re

from click.testing import CliRunner

from tests.support.harness import SECRETS
from verbenanotch.cli.tool import main

GOLDEN_DIRECTORY = pathlib.Path(__file__).parents[1] / "golden"
UPDATE_VARIABLE = "VERBENANOTCH_UPDATE_GOLDEN"
# Patterns of text that differs from run to run, and what replaces them.
REPLACEMENTS = (
    (r"\b\d{13}-", "<issued>-"),
    (r'("submitted_at_ms": )\d+', r"\1<time>"),
    (r"127\.\d+\.(\d+\.\d+)", r"127.N.\1"),
    (r"\d{4}-\d\d-\d\dT[\d:]+Z", "<time>"),
    (r"(?m)^\d\d:\d\d:\d\d\.\d{3}", "<time>"),
    (r"(?m)^(control host \S+): .*", r"\1: <replica>"),
)
# Patterns of ids and versions, and the word that is numbered for each value.
NUMBERED = (
    (r"\b[0-9a-f]{32}\b", "id"),
    (r"(?<![\d.])\d+\.\d+(?![\d.]|\s*s\b)", "version"),
)


class Session:
    """A transcript of commands of the tool and of callers' requests."""

    def __init__(self, *, mesh):
        """Run commands and requests against a harness mesh."""
        self._mesh = mesh
        self.folder = mesh.folder
        self._parts = []

    def tool(self, *arguments, operator="ann", servers=None):
        """Run one command of the tool; return its result."""
        environ = {
            "VERBENANOTCH_SERVERS": " ".join(
                servers or self._mesh.topology.servers
            ),
            "VERBENANOTCH_TOKEN": SECRETS.operator_token,
            "VERBENANOTCH_OPERATOR": operator,
        }
        command_words = [str(argument) for argument in arguments]
        result = CliRunner().invoke(main, command_words, env=environ)
        command = " ".join(command_words).replace(f"{self._mesh.folder}/", "")
        output = result.output.replace(f"{self._mesh.folder}/", "")
        if result.exception and not isinstance(result.exception, SystemExit):
            raise result.exception
        self._parts.append(
            f"{operator}$ verbenanotch {command}\n{output}"
            f"[exit {result.exit_code}]\n"
        )
        return result

    def call(self, method, path, *, proxy, **options):
        """Send a caller's request; return its Answer."""
        answer = self._mesh.call(method, path, proxy=proxy, **options)
        options_text = " ".join(
            f"{key}={value}" for key, value in options.items()
        )
        self._parts.append(
            f"caller$ {method} {path} at {proxy} {options_text}".rstrip()
            + f"\n{answer.status} {answer.outcome}\n"
        )
        return answer

    def note(self, text):
        """Add a comment line to the transcript."""
        self._parts.append(f"# {text}\n")

    def check(self, name):
        """Compare the transcript with the golden file of this name.

        Writes the golden file first if UPDATE_VARIABLE is set in the
        environment.
        """
        text = normalise("\n".join(self._parts))
        path = GOLDEN_DIRECTORY / f"{name}.txt"
        if os.environ.get(UPDATE_VARIABLE):
            path.write_text(text, encoding="utf-8")
        golden = path.read_text(encoding="utf-8")
        difference = "\n".join(
            difflib.unified_diff(
                golden.splitlines(), text.splitlines(), "golden", "now"
            )
        )
        assert text == golden, f"{path.name}:\n{difference}"


def normalise(text):
    """Replace times and addresses, and number ids and versions.

    Equal ids or versions get the same number, in order of appearance, so that
    the text still shows which of them are equal.
    """
    for pattern, replacement in REPLACEMENTS:
        text = re.sub(pattern, replacement, text)
    for pattern, word in NUMBERED:
        text = _number(text, pattern, word)
    return text


def _number(text, pattern, word):
    names_by_value = {}

    def name(match):
        number = len(names_by_value) + 1
        return names_by_value.setdefault(match.group(), f"<{word}-{number}>")

    return re.sub(pattern, name, text)
