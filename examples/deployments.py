"""The two example deployments and their committed settings.

`python -m examples.deployments` writes the settings files again.
"""

import pathlib

import attrs
import tomli_w

from examples.topology import Secrets, make_settings, plan

FOLDER = pathlib.Path(__file__).resolve().parent
CONTROL_HOSTS_PER_ZONE = 1


@attrs.frozen(kw_only=True)
class Sample:
    """A request that the demonstration sends."""

    method: str
    path: str
    body: bytes = b""


@attrs.frozen(kw_only=True)
class Deployment:
    """One example mesh on loopback.

    Each zone has a proxy for each entry of its `services_by_zone`, with one
    target of that service beside it.
    """

    name: str
    second_octet: int
    slots: int
    services_by_zone: dict[str, tuple[str, ...]]
    query: Sample
    change: Sample

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
        """Return the service of the target beside each proxy, by name."""
        return {
            f"{zone}-proxy-{number}": service
            for zone, services in self.services_by_zone.items()
            for number, service in enumerate(services, start=1)
        }

    @property
    def secrets(self):
        """Return example secrets; a true deployment makes its own."""
        return Secrets(
            peer_key=f"example-peer-key-{self.name}",
            operator_token=f"example-token-{self.name}",
        )

    @property
    def mesh_path(self):
        """Return the path of the operator's file."""
        return FOLDER / f"{self.name}.toml"

    @property
    def settings_folder(self):
        """Return the folder of the committed settings."""
        return FOLDER / "settings" / self.name

    @property
    def run_folder(self):
        """Return the folder of data, logs and events, under the root."""
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
                    folder=self.run_folder,
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
    query=Sample(method="GET", path="/jobs/4711"),
    change=Sample(
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
    query=Sample(method="GET", path="/docket/2026-12-03"),
    change=Sample(
        method="POST",
        path="/interpreters",
        body=b'{"court": "Regina", "language": "ASL"}',
    ),
)
DEPLOYMENTS_BY_NAME = {mesh.name: mesh for mesh in (BRITTANY, PRAIRIE)}


def write_settings():
    """Write every settings file of both deployments."""
    for deployment in DEPLOYMENTS_BY_NAME.values():
        folder = deployment.settings_folder
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in deployment.settings_texts_by_name().items():
            (folder / name).write_text(text, encoding="utf-8")


if __name__ == "__main__":
    write_settings()
