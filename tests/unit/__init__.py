"""Tests of single aggregates."""
