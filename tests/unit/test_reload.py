"""Settings that change while the daemon runs."""

import attrs
import pytest

from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch import conf
from verbenanotch.daemon._reload import SettingsWatch
from verbenanotch.documents import Document, Invalid, Problem, Valid


class FakeRole:
    """Note the settings that are taken over."""

    def __init__(self):
        """Take none yet."""
        self.taken = []

    def reconfigure(self, settings):
        """Note changed settings."""
        self.taken.append(settings)


@pytest.fixture
def role():
    return FakeRole()


def make_watch(role, results):
    return SettingsWatch(
        role=role, reload=lambda: results.pop(0), settings=SETTINGS
    )


def test_only_valid_changes_are_taken_over(role):
    changed = attrs.evolve(
        SETTINGS, discovery=conf.DiscoverySettings(seeds=("127.0.0.9",))
    )
    problem = Problem(key="host", line=1, text="is bad", remedy="Mend it.")
    document = Document(text="")
    watch = make_watch(
        role,
        [
            Valid(value=SETTINGS, document=document),
            Invalid(problems=(problem,)),
            Valid(value=changed, document=document),
            Valid(value=changed, document=document),
        ],
    )
    for _ in range(4):
        watch.check()
    assert role.taken == [changed]


SEEDED = """
[host]
name = "{name}"
role = "control"
availability_zone = "z1"
address = "127.0.0.1"
peer_port = 7000
peer_key = "0123456789abcdef"
[discovery]
seeds = {seeds}
peer_port = 7000
[control]
data_folder = "data"
operator_listen = "127.0.0.1:7001"
"""


def load(folder, *, name="127.0.0.1", seeds='["127.0.0.1:9", "127.0.0.2"]'):
    path = folder / "settings.toml"
    path.write_text(SEEDED.format(name=name, seeds=seeds), encoding="utf-8")
    return conf.load(path)


def test_seeds_are_the_first_voters(tmp_path):
    voters = load(tmp_path).value.control.voters_by_name
    assert voters == {
        address: conf.ControlHostAddress(address=address, peer_port=7000)
        for address in ("127.0.0.1", "127.0.0.2")
    }


@pytest.mark.parametrize(
    "changed",
    [{"name": "other"}, {"seeds": '["somewhere"]'}, {"seeds": "[]"}],
)
def test_bad_seeds_are_refused_with_a_remedy(tmp_path, changed):
    result = load(tmp_path, **changed)
    assert isinstance(result, Invalid)
    assert all(problem.remedy for problem in result.problems)


def test_a_file_is_parsed_again_only_if_it_has_changed(tmp_path):
    first = load(tmp_path)
    reloader = conf.Reloader(tmp_path / "settings.toml")
    held = reloader.load()
    assert held.value == first.value
    assert reloader.load() is held
    load(tmp_path, seeds='["127.0.0.3"]')
    assert reloader.load().value != held.value
    (tmp_path / "settings.toml").unlink()
    assert isinstance(reloader.load(), Invalid)
