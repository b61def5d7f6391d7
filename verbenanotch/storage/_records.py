"""Framing of records: length, CRC-32 of the payload, payload.

The length is the initial value of the CRC-32, which thus also covers it.
"""

import struct
import zlib

import attrs
import msgpack

HEADER = struct.Struct(">II")


@attrs.frozen(kw_only=True)
class LogScanResult:
    """The valid records at the start of some bytes, with their offsets.

    `valid_bytes` is the offset of the first corrupt record, or the length
    of the bytes. `valid_record_follows` is whether a valid record follows
    the corrupt one, which then is not a torn write at the end of a file.
    """

    values: tuple
    offsets: tuple[int, ...]
    valid_bytes: int
    valid_record_follows: bool


def pack_record(value):
    """Return the bytes of one record."""
    payload = msgpack.packb(value)
    return HEADER.pack(len(payload), _checksum(payload)) + payload


def scan_records(data):
    """Return the records from the start of `data` up to a corrupt one."""
    values = []
    offsets = []
    offset = 0
    while offset < len(data):
        decoded = _record_at(data, offset)
        if decoded is None:
            break
        value, end = decoded
        values.append(value)
        offsets.append(offset)
        offset = end
    return LogScanResult(
        values=tuple(values),
        offsets=tuple(offsets),
        valid_bytes=offset,
        valid_record_follows=_has_record_after(data, offset),
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
    """Return whether a valid record starts where the corrupt one ends."""
    if offset + HEADER.size > len(data):
        return False
    length, _ = HEADER.unpack_from(data, offset)
    return _record_at(data, offset + HEADER.size + length) is not None
