"""Numbered events, metrics and the clock of one process."""

from verbenanotch.telemetry._clock import (
    HybridLogicalClock,
    clock,
    physical_milliseconds,
)
from verbenanotch.telemetry._events import (
    Event,
    Level,
    configure,
    emit,
    event,
    events_by_number,
)
from verbenanotch.telemetry._exposition import MetricsInterface
from verbenanotch.telemetry._metrics import metrics
from verbenanotch.telemetry._pace import LinePace

__all__ = [
    "Event",
    "HybridLogicalClock",
    "Level",
    "LinePace",
    "MetricsInterface",
    "clock",
    "configure",
    "emit",
    "event",
    "events_by_number",
    "metrics",
    "physical_milliseconds",
]
