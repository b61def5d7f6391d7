"""The reference pages are complete and their links resolve."""

import pathlib
import re

import attrs
import pytest

from verbenanotch import conf
from verbenanotch.cli._catalogue import load_catalogue, make_page
from verbenanotch.cli.tool import main

ROOT = pathlib.Path(__file__).parents[2]
REFERENCE = ROOT / "docs/reference"
CLASSES_BY_SECTION = {
    "host": conf.HostSettings,
    "control": conf.ControlSettings,
    "proxy": conf.ProxySettings,
    "telemetry": conf.TelemetrySettings,
}
METRIC_CALL = re.compile(
    r'metrics\.(?:increment|gauge|timing)\(\s*f?"([a-z_.]+)(\{)?'
)


def read(name):
    return (REFERENCE / name).read_text(encoding="utf-8")


def test_the_events_page_is_up_to_date():
    assert read("events.md") == make_page(load_catalogue()), (
        "run verbenanotch events --markdown > docs/reference/events.md"
    )


def format_default(field):
    match field.default:
        case attrs.NOTHING:
            return "required"
        case attrs.Factory():
            return "empty"
        case bool(value):
            return str(value).lower()
        case "" | ():
            return "empty"
        case value:
            return str(value)


@pytest.mark.parametrize("section", CLASSES_BY_SECTION)
def test_every_setting_is_listed_with_its_default(section):
    rows = dict(
        re.findall(
            rf"^\| `{section}\.(\w+)` \| [^|]+ \| ([^|]+) \|",
            read("settings.md"),
            re.MULTILINE,
        )
    )
    fields = attrs.fields(CLASSES_BY_SECTION[section])
    assert rows == {field.name: format_default(field) for field in fields}


@pytest.mark.parametrize("name", sorted(main.commands))
def test_every_command_and_option_is_listed(name):
    page = read("commands.md")
    section = re.search(rf"^## {name}\n(.*?)(?=^## |\Z)", page, re.M | re.S)
    assert section, f"add {name} to the page"
    shared = re.search(r"^## Options.*?(?=^## )", page, re.M | re.S).group()
    for parameter in main.commands[name].params:
        for option in parameter.opts:
            if option.startswith("--"):
                assert f"`{option}`" in section.group() + shared, option


def test_every_metric_is_listed():
    page = read("metrics.md")
    names = {
        name + ("*" if is_prefix else "")
        for path in (ROOT / "verbenanotch").rglob("*.py")
        for name, is_prefix in METRIC_CALL.findall(path.read_text())
    }
    assert names
    assert {name for name in names if f"`{name}`" not in page} == set()


def test_links_between_pages_resolve():
    pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md")]
    broken = []
    for page in pages:
        for link in re.findall(
            r"\]\(([^)#:]+)(?:#[^)]*)?\)", page.read_text()
        ):
            if not (page.parent / link).exists():
                broken.append(f"{page.relative_to(ROOT)}: {link}")
    assert broken == []
