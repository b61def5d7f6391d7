"""Idempotency keys, which contain their time of issue.

A key has one of two forms: a version 7 UUID (RFC 9562, section 5.7), whose
first 48 bits are milliseconds since 1970, or 13 decimal digits with those
milliseconds, a hyphen and one or more visible ASCII characters. Without the
time of issue, a holder could not distinguish a key that was never used from
one whose record it has dropped.
"""

import re

MAX_KEY_CHARACTERS = 128
UUID7_PATTERN = re.compile(
    r"([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)
STAMPED_PATTERN = re.compile(r"([0-9]{13})-[\x21-\x7e]+")


def issued_at_ms(key):
    """Return when the key was issued, in milliseconds since 1970.

    Return None if the key has neither form or is longer than
    `MAX_KEY_CHARACTERS`; such a key is never accepted.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        return None
    match = STAMPED_PATTERN.fullmatch(key)
    if match:
        return int(match.group(1))
    match = UUID7_PATTERN.fullmatch(key.lower())
    if match:
        return int(match.group(1) + match.group(2), 16)
    return None


def new_key(*, now_ms, random):
    """Return a new key, the text of a version 7 UUID.

    `now_ms` is in milliseconds since 1970, `random` is a `random.Random`.
    """
    value = now_ms << 80 | 7 << 76 | random.getrandbits(12) << 64
    value |= 0b10 << 62 | random.getrandbits(62)
    digits = f"{value:032x}"
    parts = (digits[:8], digits[8:12], digits[12:16], digits[16:20])
    return "-".join((*parts, digits[20:]))
