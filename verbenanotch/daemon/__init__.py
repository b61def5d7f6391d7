"""Wiring of the two roles of the daemon."""

from verbenanotch.daemon._run import run

__all__ = ["run"]
