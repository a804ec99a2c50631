"""Fleet daemon program, ``dogwoodlever-fleetd``."""

import signal
import sys


def main() -> int:
    """Run ``dogwoodlever-fleetd``; return the exit status."""
    # A reload signal must not end the process while it still loads its
    # libraries.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dogwoodlever._fleet_daemon import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
