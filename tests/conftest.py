"""Patch the standard library for eventlet before the tests are imported.

Eventlet's own DNS resolver is disabled, as in the daemon.
"""

import os

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")

import eventlet  # noqa: E402

eventlet.monkey_patch()
