"""Measurements; they print figures and assert nothing."""
