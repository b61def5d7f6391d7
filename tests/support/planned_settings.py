"""Settings of a planned host, changed by a test, as the daemon loads them."""

import tomli_w

from examples import topology as plans
from verbenanotch import conf


def load_planned(folder, role, **changes_by_section):
    """Return the result for the one host of a role in a plan.

    Each section of the settings takes the changes under its name.
    """
    topology = plans.plan(
        zones=("z1",),
        control_hosts_per_zone=1,
        proxies_per_zone=1,
        second_octet=1,
    )
    [host] = [
        host for host in topology.hosts_by_name.values() if host.role == role
    ]
    settings = plans.make_settings(
        host,
        topology,
        secrets=plans.Secrets(peer_key="k" * 16, operator_token="t"),
        folder=str(folder),
    )
    for section, changes in changes_by_section.items():
        settings[section] |= changes
    path = folder / "settings.toml"
    path.write_text(tomli_w.dumps(settings), encoding="utf-8")
    return conf.load(path)
