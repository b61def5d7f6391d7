"""Guard against events that can't be written and end what they tell."""

import resource

import pytest

from verbenanotch.telemetry._event_file import EventFile


@pytest.fixture
def file_limit():
    """Return a function that limits the size of files of this process."""
    before = resource.getrlimit(resource.RLIMIT_FSIZE)

    def limit(size):
        resource.setrlimit(resource.RLIMIT_FSIZE, (size, before[1]))

    yield limit
    resource.setrlimit(resource.RLIMIT_FSIZE, before)


def test_lines_that_a_full_disk_refuses_are_dropped(tmp_path, file_limit):
    path = tmp_path / "events"
    notices = []
    file = EventFile(path=str(path), notify=notices.append)
    file.write("first")
    file_limit(8)
    file.write("second")
    file.write("third")
    file_limit(1000)
    file.write("last")
    assert path.read_text().splitlines() == ["first", "se", "last"]
    assert len(notices) == 2
    assert "refuses" in notices[0]
    assert "again" in notices[1]


def test_a_file_that_cannot_be_opened_is_tried_again(tmp_path):
    folder = tmp_path / "later"
    notices = []
    file = EventFile(path=str(folder / "events"), notify=notices.append)
    file.write("first")
    folder.mkdir()
    file.write("second")
    assert (folder / "events").read_text() == "second\n"
    assert str(folder) in notices[0]
