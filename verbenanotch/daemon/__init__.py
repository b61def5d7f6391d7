"""Assembly of the daemon's two roles: control host and proxy."""

from verbenanotch.daemon._interfaces import Interfaces
from verbenanotch.daemon._run import run

__all__ = ["Interfaces", "interfaces", "run"]

# The default of the daemon's option `--interfaces`.
interfaces = Interfaces()
