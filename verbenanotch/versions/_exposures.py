"""Exposures of services, laid over a configuration."""

import attrs


def with_exposures(mesh, exposures_by_service):
    """Return the Mesh with the exposures of the services that it has."""
    exposed = {
        name: attrs.evolve(service, exposure=exposures_by_service.get(name))
        for name, service in mesh.services.items()
        if name in exposures_by_service
    }
    if not exposed:
        return mesh
    return attrs.evolve(mesh, services={**mesh.services, **exposed})
