"""Tests over real streams and processes."""
