"""Test that a mesh avoids networks where processes of other runs listen."""

import eventlet

from examples.topology import TARGET_SERVICE_PORT
from tests.support.harness import Mesh
from tests.support.network import reserve_network


def test_a_mesh_avoids_a_network_where_a_process_still_listens(tmp_path):
    octet, reservation = reserve_network()
    reservation.close()
    address = f"127.{octet}.1.51"
    listener = eventlet.listen((address, TARGET_SERVICE_PORT))
    mesh = Mesh(folder=tmp_path, control_hosts_per_zone=1)
    mesh.stop()
    listener.close()
    assert address not in {
        host.address for host in mesh.topology.hosts_by_name.values()
    }
