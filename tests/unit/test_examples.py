"""Test that the committed settings and meshes are valid and up to date."""

import pytest

from examples.deployments import DEPLOYMENTS_BY_NAME
from verbenanotch import conf
from verbenanotch.catalog import parse_mesh
from verbenanotch.documents import Valid


@pytest.fixture(params=sorted(DEPLOYMENTS_BY_NAME))
def deployment(request):
    return DEPLOYMENTS_BY_NAME[request.param]


def test_committed_settings_are_up_to_date_and_valid(deployment):
    texts_by_name = deployment.settings_texts_by_name()
    paths = sorted(deployment.settings_directory.iterdir())
    assert {path.name for path in paths} == set(texts_by_name)
    for path in paths:
        assert path.read_text() == texts_by_name[path.name], (
            "run python -m examples.deployments"
        )
        if path.name != "tool.toml":
            assert isinstance(conf.load(path), Valid)


def test_every_service_of_the_mesh_has_targets(deployment):
    result = parse_mesh(deployment.mesh_path.read_bytes())
    assert isinstance(result, Valid)
    services = set(deployment.services_by_proxy.values())
    assert services == set(result.value.services_by_name)
    for service in result.value.services_by_name.values():
        assert service.slots == deployment.slots
