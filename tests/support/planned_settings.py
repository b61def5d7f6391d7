"""Load a planned host's settings with changes made by a test."""

import tomli_w

from examples import topology as plans
from verbenanotch import conf


def load_planned(folder, role, **changes_by_section):
    """Return what `conf.load` returns for the only host of a role.

    The plan has one control host and one proxy. Each keyword names a section
    of the settings; its values replace those of the plan.
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
