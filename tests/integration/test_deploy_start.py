"""The commands of `deploy/system.toml` start the daemon."""

import os
import shlex
import subprocess
import sys
import sysconfig
import tomllib

import pytest

from tests.support.deploy_templates import DEPLOY

ROLES = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))[
    "roles"
]


@pytest.fixture(params=sorted(ROLES))
def run(request):
    """Return a function that runs the command of a role with an option."""

    def start(option):
        python, *arguments = shlex.split(ROLES[request.param]["run"])
        assert python == "python3"
        return subprocess.Popen(
            [sys.executable, *arguments, option],
            cwd=DEPLOY.parent,
            env=os.environ | {"PYTHONPATH": sysconfig.get_path("purelib")},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )

    return start


def test_the_command_of_a_role_runs_the_daemon(run):
    output, _ = run("--help").communicate()
    assert "Run one process of the mesh" in output
