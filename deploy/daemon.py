"""Run the daemon from the root of the project.

The first statement ignores SIGHUP, whose default action ends the process. The
daemon's own module does so, too, but `python -m` takes longer to get there.
"""

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os.path  # noqa: E402
import sys  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, ROOT)
sys.path.append(os.path.join(ROOT, "target", "deps"))

from verbenanotch.cli.daemon import main  # noqa: E402

main()
