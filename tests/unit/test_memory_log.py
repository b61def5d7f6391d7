"""The memory of the process is measured and logged, within bounds."""

import pytest

from verbenanotch.daemon import _memory, events
from verbenanotch.telemetry import metrics


@pytest.fixture
def lines(monkeypatch):
    lines = []
    monkeypatch.setattr(
        _memory, "emit", lambda event, **fields: lines.append((event, fields))
    )
    return lines


def test_each_large_growth_is_logged_once(lines):
    peaks_kb = iter([45_000, 46_000, 80_000, 80_000, 300_000])
    log = _memory.MemoryLog(peak_kb=lambda: next(peaks_kb))
    for _ in range(5):
        log.record()
    assert [event for event, _ in lines] == [events.MEMORY_GROWN] * 3
    assert [fields["peak_mb"] for _, fields in lines] == [43.9, 78.1, 293.0]
    assert metrics.gauges_by_name["daemon.peak_memory_kb"] == 300_000


def test_the_peak_of_this_process_is_measured(lines):
    block = b"x" * (64 * 1024 * 1024)
    _memory.MemoryLog().record()
    [(_, fields)] = lines
    assert fields["peak_mb"] > len(block) / 1024 / 1024
