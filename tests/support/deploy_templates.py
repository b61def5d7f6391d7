"""Fill in the settings templates of `deploy/` as the users' platform does.

Only what the templates use is supported: values, JSON, and sections of a
value that is present or missing.
"""

import json
import pathlib
import re

DEPLOY = pathlib.Path(__file__).resolve().parents[2] / "deploy"
SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template, fields):
    """Return the text of `deploy/<template>`, filled in with nested fields."""
    text = (DEPLOY / template).read_text(encoding="utf-8")
    while SECTION.search(text):
        text = SECTION.sub(lambda found: _section(found, fields), text)
    return VALUE.sub(lambda found: _value(found, fields), text)


def _section(found, fields):
    sign, name, body = found.groups()
    value = _look_up(fields, name)
    is_present = value is not None and value is not False
    return body if is_present == (sign == "#") else ""


def _value(found, fields):
    name, as_json = found.groups()
    value = _look_up(fields, name)
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    return json.dumps(value) if isinstance(value, bool) else str(value)


def _look_up(fields, name):
    """Return the value at a dotted name, None if there is none."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value
