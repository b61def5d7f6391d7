"""Validation of client accounts; problems never quote a key."""

import math
import re

# What an HTTP header can carry without loss: visible ASCII characters, and
# spaces between them.
KEY_PATTERN = re.compile(r"[!-~](?:[ -~]*[!-~])?")
MAX_KEY_CHARACTERS = 512
MAX_PRIORITY = 1_000_000


def account_problems(accounts_by_name, document):
    """Yield a Problem for each rule that the client accounts break."""
    names_by_key = {}
    for name, account in accounts_by_name.items():
        key = f"client_accounts.{name}"
        if not KEY_PATTERN.fullmatch(name):
            yield document.problem(
                key,
                "the name of the account cannot be sent in a header",
                "Use visible ASCII characters.",
            )
        yield from _number_problems(key, account, document)
        for number, account_key in enumerate(account.keys, start=1):
            yield from _key_problems(key, number, account_key, document)
            first = names_by_key.setdefault(account_key, name)
            if first != name:
                yield document.problem(
                    f"{key}.keys",
                    f"key {number} is also a key of account {first!r}",
                    "Give each account keys of its own.",
                )
        if len(set(account.keys)) < len(account.keys):
            yield document.problem(
                f"{key}.keys",
                "the same key is listed twice",
                "List each key once.",
            )


def _key_problems(key, number, account_key, document):
    if not account_key:
        yield document.problem(
            f"{key}.keys",
            f"key {number} is empty",
            "Remove it or fill it in.",
        )
    elif not KEY_PATTERN.fullmatch(account_key):
        yield document.problem(
            f"{key}.keys",
            f"key {number} cannot be sent in a header",
            "Use visible ASCII characters, and spaces only between them.",
        )
    elif len(account_key) > MAX_KEY_CHARACTERS:
        yield document.problem(
            f"{key}.keys",
            f"key {number} has {len(account_key)} characters",
            f"Use at most {MAX_KEY_CHARACTERS}.",
        )


def _number_problems(key, account, document):
    for field in ("rate", "burst"):
        value = getattr(account, field)
        if not (math.isfinite(value) and value >= 0):
            yield document.problem(
                f"{key}.{field}",
                "is negative or not finite",
                "Use at least 0; a rate of 0 means no limit.",
            )
    if not 0 <= account.priority <= MAX_PRIORITY:
        yield document.problem(
            f"{key}.priority",
            f"{account.priority} is out of range",
            f"Use 0 to {MAX_PRIORITY}; the lowest number runs first.",
        )
