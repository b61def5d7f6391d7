"""Files in a data folder, and records with checksums in them."""

from verbenanotch.storage._files import TEMPORARY_SUFFIX, Files
from verbenanotch.storage._records import (
    LogScanResult,
    pack_record,
    scan_records,
)

__all__ = [
    "TEMPORARY_SUFFIX",
    "Files",
    "LogScanResult",
    "pack_record",
    "scan_records",
]
