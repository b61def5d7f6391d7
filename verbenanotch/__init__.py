"""Distribute configuration to a service mesh and serve requests by it."""

__version__ = "0.1.0"
