"""Guard against events that can't be written and end what they tell."""

import contextlib
import resource

from verbenanotch.telemetry._event_file import EventFile


@contextlib.contextmanager
def file_limit(size):
    """Limit the size of files of this process, the report of pytest too."""
    before = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, before)


def test_lines_that_a_full_disk_refuses_are_dropped(tmp_path):
    path = tmp_path / "events"
    notices = []
    file = EventFile(path=str(path), notify=notices.append)
    file.write("first")
    with file_limit(8):
        file.write("second")
        file.write("third")
    with file_limit(1000):
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
