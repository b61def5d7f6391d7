"""Framing of records: length, CRC-32 of the payload, payload."""

import struct
import zlib

import attrs
import msgpack

HEADER = struct.Struct(">II")


@attrs.frozen(kw_only=True)
class Scan:
    """The records at the start of some bytes, and how far they reach.

    `sound_bytes` is where the first unsound record starts, or the length
    of the bytes. `sound_after` tells that another sound record follows it.
    """

    values: tuple
    offsets: tuple[int, ...]
    sound_bytes: int
    sound_after: bool


def pack(value):
    """Return the bytes of one record."""
    payload = msgpack.packb(value)
    return HEADER.pack(len(payload), _checksum(payload)) + payload


def scan(data):
    """Return the sound records from the start of `data`."""
    values = []
    offsets = []
    offset = 0
    while offset < len(data):
        found = _record_at(data, offset)
        if found is None:
            break
        value, end = found
        values.append(value)
        offsets.append(offset)
        offset = end
    return Scan(
        values=tuple(values),
        offsets=tuple(offsets),
        sound_bytes=offset,
        sound_after=_has_record_after(data, offset),
    )


def _checksum(payload):
    return zlib.crc32(payload, len(payload))


def _record_at(data, offset):
    start = offset + HEADER.size
    if start > len(data):
        return None
    length, checksum = HEADER.unpack_from(data, offset)
    payload = data[start : start + length]
    if not length or len(payload) < length:
        return None
    if _checksum(payload) != checksum:
        return None
    return msgpack.unpackb(payload, strict_map_key=False), start + length


def _has_record_after(data, offset):
    """Tell whether the unsound record's own length leads to a sound one."""
    if offset + HEADER.size > len(data):
        return False
    length, _ = HEADER.unpack_from(data, offset)
    return _record_at(data, offset + HEADER.size + length) is not None
