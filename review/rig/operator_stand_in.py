"""A stand-in for the operator: sends configurations and reads them back."""

import json
import random
import time

from mesh import CannotRunError, call

LIMITS = {
    "MaxHeaderBytes": 16384,
    "MaxBodyBytes": 67108864,
    "HeaderTimeoutS": 3,
    "IdleTimeoutS": 15,
}


def configuration(label, routes, services):
    """Return the encoded configuration of a version number."""
    return json.dumps(
        {
            "Version": f"r{label}",
            "Routes": routes,
            "Services": {
                name: {
                    "HealthPath": "/healthz",
                    "MaxConns": 110,
                    "Protocol": "h1",
                    "Tls": False,
                }
                for name in services
            },
            "Limits": LIMITS,
        }
    ).encode()


def route(host, prefix, service, **fields):
    """Return a route; `fields` replace the usual ones."""
    return {
        "Host": host,
        "Prefix": prefix,
        "Kind": "safe",
        "TimeoutS": 2,
        "SloS": 0.6,
        "Priority": 1,
        "Service": service,
        "Attempts": 2,
        **fields,
    }


class Operator:
    """Send orders to any control host until one answers clearly."""

    def __init__(self, *, mesh, record):
        """Use the control hosts of a Mesh."""
        self._mesh = mesh
        self._record = record

    def put_once(self, control, body, base, *, seconds=1.0):
        """Send a configuration to one control host; return the status.

        Returns None if no answer comes in time.
        """
        label = json.loads(body)["Version"]
        self._record.write("operator", f"PUT {label} to {control.address}")
        try:
            status, _, answer = call(
                control.address,
                self._mesh.control_port,
                "PUT",
                "/config",
                headers=[("If-Match", f"r{base}")],
                body=body,
                seconds=seconds,
            )
        except OSError as error:
            self._record.write("operator", f"PUT {label}: {error!r}")
            return None
        self._record.write(
            "operator", f"PUT {label}: {status} {answer[:120]!r}"
        )
        return status

    def put(self, body, base, *, seconds=20.0):
        """Send a configuration until it is accepted or refused."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            control = random.choice(self._mesh.controls)
            status = self.put_once(control, body, base)
            if status is not None and status < 500:
                return status
            time.sleep(0.2)
        raise CannotRunError("no control host answers")

    def get(self, control, *, seconds=2.0):
        """Return status and body of a read at one control host."""
        try:
            status, _, body = call(
                control.address,
                self._mesh.control_port,
                "GET",
                "/config",
                seconds=seconds,
            )
        except OSError as error:
            self._record.write(
                "operator", f"GET at {control.address}: {error!r}"
            )
            return None, b""
        return status, body
