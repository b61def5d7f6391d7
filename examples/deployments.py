"""The two example deployments and their committed settings.

`python -m examples.deployments` rewrites the settings files.
"""

import pathlib

import attrs
import tomli_w

from examples.topology import Secrets, make_settings, plan

EXAMPLES_DIRECTORY = pathlib.Path(__file__).resolve().parent
CONTROL_HOSTS_PER_ZONE = 1


@attrs.frozen(kw_only=True)
class SampleRequest:
    """A request that the demonstration sends."""

    method: str
    path: str
    body: bytes = b""


@attrs.frozen(kw_only=True)
class Deployment:
    """One example mesh on loopback.

    Each zone has one proxy per entry in `services_by_zone`, with one target
    of that service on the same host. The demonstration sends `query`, which
    is harmless to repeat, and `change` with an idempotency key.
    """

    name: str
    second_octet: int
    slots: int
    services_by_zone: dict[str, tuple[str, ...]]
    query: SampleRequest
    change: SampleRequest

    @property
    def topology(self):
        """Return the planned hosts."""
        return plan(
            zones=tuple(self.services_by_zone),
            control_hosts_per_zone=CONTROL_HOSTS_PER_ZONE,
            proxies_per_zone=[
                len(services) for services in self.services_by_zone.values()
            ],
            second_octet=self.second_octet,
        )

    @property
    def services_by_proxy(self):
        """Return the service of each proxy's local target, by proxy name."""
        return {
            f"{zone}-proxy-{number}": service
            for zone, services in self.services_by_zone.items()
            for number, service in enumerate(services, start=1)
        }

    @property
    def secrets(self):
        """Return example secrets; a real deployment generates its own."""
        return Secrets(
            peer_key=f"example-peer-key-{self.name}",
            operator_token=f"example-token-{self.name}",
        )

    @property
    def mesh_path(self):
        """Return the path of the mesh file."""
        return EXAMPLES_DIRECTORY / f"{self.name}.toml"

    @property
    def settings_directory(self):
        """Return the directory of the committed settings."""
        return EXAMPLES_DIRECTORY / "settings" / self.name

    @property
    def run_directory(self):
        """Return the directory of data, logs and events, from the root."""
        return f"run/{self.name}"

    def settings_texts_by_name(self):
        """Return the text of every settings file, keyed by file name."""
        topology = self.topology
        texts = {
            f"{host.name}.toml": tomli_w.dumps(
                make_settings(
                    host,
                    topology,
                    secrets=self.secrets,
                    folder=self.run_directory,
                )
            )
            for host in topology.hosts_by_name.values()
        }
        tool_settings = {
            "servers": topology.servers,
            "token": self.secrets.operator_token,
            "operator": "demo",
        }
        texts["tool.toml"] = tomli_w.dumps(tool_settings)
        return texts


BRITTANY = Deployment(
    name="brittany",
    second_octet=10,
    slots=17,
    services_by_zone={
        "rennes": ("job-tracking", "order-intake", "billing", "job-tracking"),
        "quimper": ("job-tracking", "order-intake", "billing"),
        "brest": ("job-tracking", "order-intake", "billing"),
    },
    query=SampleRequest(method="GET", path="/jobs/4711"),
    change=SampleRequest(
        method="POST", path="/payments", body=b'{"job": 4711, "euros": 90}'
    ),
)
PRAIRIE_SERVICES = ("docket-viewer", "captioning-desk", "interpreter-desk")
PRAIRIE = Deployment(
    name="prairie",
    second_octet=11,
    slots=18,
    services_by_zone={
        "winnipeg": PRAIRIE_SERVICES,
        "regina": PRAIRIE_SERVICES,
        "saskatoon": PRAIRIE_SERVICES,
        "edmonton": PRAIRIE_SERVICES,
    },
    query=SampleRequest(method="GET", path="/docket/2026-12-03"),
    change=SampleRequest(
        method="POST",
        path="/interpreters",
        body=b'{"court": "Regina", "language": "ASL"}',
    ),
)
DEPLOYMENTS_BY_NAME = {
    deployment.name: deployment for deployment in (BRITTANY, PRAIRIE)
}


def write_settings():
    """Write every settings file of both deployments."""
    for deployment in DEPLOYMENTS_BY_NAME.values():
        directory = deployment.settings_directory
        directory.mkdir(parents=True, exist_ok=True)
        for name, text in deployment.settings_texts_by_name().items():
            (directory / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    write_settings()
