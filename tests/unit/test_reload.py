"""Test settings with seeds, and the reload of settings at run time."""

import pathlib

import attrs
import eventlet
import pytest

from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch import conf
from verbenanotch.daemon._reload import SettingsWatcher
from verbenanotch.documents import Document, Invalid, Problem, Valid


class FakeRole:
    """Role that records the settings that it receives."""

    def __init__(self):
        """Start without recorded settings."""
        self.received = []

    def reconfigure(self, settings):
        """Record changed settings."""
        self.received.append(settings)


@pytest.fixture
def role():
    return FakeRole()


def make_watcher(role, results):
    return SettingsWatcher(
        role=role, reload=lambda: results.pop(0), settings=SETTINGS
    )


def test_only_valid_changes_are_applied(role):
    changed = attrs.evolve(
        SETTINGS, discovery=conf.DiscoverySettings(seeds=("127.0.0.9",))
    )
    problem = Problem(key="host", line=1, text="is bad", remedy="Fix it.")
    document = Document(text="")
    watcher = make_watcher(
        role,
        [
            Valid(value=SETTINGS, document=document),
            Invalid(problems=(problem,)),
            Valid(value=changed, document=document),
            Valid(value=changed, document=document),
        ],
    )
    for _ in range(4):
        watcher.check()
    assert role.received == [changed]


def test_a_change_that_failed_to_apply_is_applied_by_the_next_check(
    role, monkeypatch
):
    changed = attrs.evolve(
        SETTINGS, discovery=conf.DiscoverySettings(seeds=("127.0.0.9",))
    )
    valid = Valid(value=changed, document=Document(text=""))
    watcher = make_watcher(role, [valid, valid])
    with monkeypatch.context() as context:
        context.delattr(FakeRole, "reconfigure")
        with pytest.raises(AttributeError):
            watcher.check()
    watcher.check()
    assert role.received == [changed]


def test_a_signal_while_a_change_is_applied_applies_it_once(role, monkeypatch):
    """To apply a change may take turns of the loop, as tasks are ended."""
    record = role.reconfigure

    def reconfigure(settings):
        eventlet.sleep(0.01)
        record(settings)

    monkeypatch.setattr(role, "reconfigure", reconfigure)
    changed = attrs.evolve(
        SETTINGS, discovery=conf.DiscoverySettings(seeds=("127.0.0.9",))
    )
    valid = Valid(value=changed, document=Document(text=""))
    watcher = make_watcher(role, [valid, valid])
    for check in [eventlet.spawn(watcher.check) for _ in range(2)]:
        check.wait()
    assert role.received == [changed]


SETTINGS_WITH_SEEDS = """
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


def load(directory, *, name="127.0.0.1", seeds='["127.0.0.1:9", "127.0.0.2"]'):
    path = directory / "settings.toml"
    path.write_text(
        SETTINGS_WITH_SEEDS.format(name=name, seeds=seeds), encoding="utf-8"
    )
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
def test_invalid_seeds_are_refused_with_a_remedy(tmp_path, changed):
    result = load(tmp_path, **changed)
    assert isinstance(result, Invalid)
    assert all(problem.remedy for problem in result.problems)


def test_reloader_parses_the_file_only_if_it_has_changed(tmp_path):
    first = load(tmp_path)
    reloader = conf.Reloader(tmp_path / "settings.toml")
    cached = reloader.load()
    assert cached.value == first.value
    assert reloader.load() is cached
    load(tmp_path, seeds='["127.0.0.3"]')
    assert reloader.load().value != cached.value
    (tmp_path / "settings.toml").unlink()
    assert isinstance(reloader.load(), Invalid)


def test_a_file_that_is_written_while_it_is_read_is_not_refused_for_good(
    tmp_path, monkeypatch
):
    """Each read must be judged by what it has read."""
    load(tmp_path)
    whole = (tmp_path / "settings.toml").read_bytes()
    reads = [whole, b"", whole]
    monkeypatch.setattr(pathlib.Path, "read_bytes", lambda path: reads.pop(0))
    reloader = conf.Reloader(tmp_path / "settings.toml")
    reloader.load()
    while reads:
        result = reloader.load()
    assert isinstance(result, Valid)
