"""Load the catalogue of all numbered events and format it in Markdown."""

import importlib
import pkgutil

import verbenanotch
from verbenanotch.telemetry import events_by_number

PAGE_HEAD = """\
# Events

Each event has a number that never changes its meaning. Logs and event files
carry it; `verbenanotch events` prints this catalogue. This page is generated
by `verbenanotch events --markdown`.
"""


def load_catalogue():
    """Import the events of every package; return them ordered by number."""
    for package in pkgutil.iter_modules(verbenanotch.__path__):
        if not package.ispkg:
            continue
        name = f"verbenanotch.{package.name}"
        if _has_events(name):
            importlib.import_module(f"{name}.events")
    return [events_by_number[number] for number in sorted(events_by_number)]


def make_page(events):
    """Return the events reference page in Markdown."""
    lines = [
        PAGE_HEAD,
        "| number | name | level | meaning | remedy |",
        "|---|---|---|---|---|",
    ]
    for event in events:
        cells = (
            str(event.number),
            f"`{event.name}`",
            event.level.value,
            event.text,
            event.remedy or "-",
        )
        escaped = (cell.replace("|", "\\|") for cell in cells)
        lines.append(f"| {' | '.join(escaped)} |")
    return "\n".join(lines) + "\n"


def _has_events(package_name):
    package = importlib.import_module(package_name)
    modules = pkgutil.iter_modules(package.__path__)
    return any(module.name == "events" for module in modules)
