"""The HTTP interface through which targets announce themselves."""

import io
import json

import pytest

from tests.unit.test_proxy_peers import SETTINGS
from verbenanotch.proxy import LocalTargets, TargetInterface

TARGET_ID = "pay/127.0.0.1:1"
ANNOUNCEMENT = {
    "service": "pay",
    "address": "127.0.0.1",
    "port": 1,
    "slots": 4,
    "incarnation": 100,
}


@pytest.fixture
def targets():
    return LocalTargets(
        settings=SETTINGS,
        incarnation=1,
        on_change=lambda: None,
        known_services=lambda: {"pay": None},
    )


@pytest.fixture
def request_interface(targets):
    """Return a function that sends a request and returns its answer."""
    interface = TargetInterface(local_targets=targets)

    def request(method, path, document=None):
        body = json.dumps(document).encode()
        statuses = []
        answer = interface.application(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "CONTENT_LENGTH": str(len(body)),
                "wsgi.input": io.BytesIO(body),
            },
            lambda status, headers: statuses.append(status),
        )
        return int(statuses[0].split()[0]), json.loads(b"".join(answer))

    return request


@pytest.fixture
def announce(request_interface):
    """Return a function that announces the target with other values."""

    def send(**fields):
        return request_interface("POST", "/v1/targets", ANNOUNCEMENT | fields)

    return send


def test_an_announcement_and_its_renewal_are_accepted(announce, targets):
    for _ in range(2):
        assert announce() == (200, {"target_id": TARGET_ID})
    assert list(targets.targets_by_id) == [TARGET_ID]


def test_an_announcement_of_a_removed_target_tells_the_remedy(
    announce, request_interface, targets
):
    announce()
    assert request_interface("DELETE", f"/v1/targets/{TARGET_ID}")[0] == 200
    status, document = announce()
    assert (status, document["kind"]) == (409, "outdated-announcement")
    assert TARGET_ID in document["problem"]
    assert "100" in document["problem"]
    assert "incarnation" in document["remedy"]
    assert targets.targets_by_id == {}
    assert announce(incarnation=101)[0] == 200


def test_an_announcement_of_an_unknown_service_tells_the_remedy(
    announce, targets
):
    status, document = announce(service="other")
    assert (status, document["kind"]) == (409, "unknown-service")
    assert "'other'" in document["problem"]
    assert "mesh" in document["remedy"]
    assert targets.targets_by_id == {}
