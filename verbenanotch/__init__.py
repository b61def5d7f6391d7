"""Service-mesh proxy and the control hosts that configure it."""

__version__ = "0.1.0"
