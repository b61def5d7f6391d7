"""Fixtures shared by all tests."""

import os

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

eventlet.monkey_patch()
