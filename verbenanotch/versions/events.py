"""Events 2500 to 2599: versions of the configuration."""

from verbenanotch.telemetry import Level, event

VERSION_ACCEPTED = event(
    2501, "version-accepted", Level.INFO, "a version was accepted"
)
