"""The daemon program on the users' platform, ``dogwoodlever-fleetd``."""

import signal
import sys


def main() -> int:
    """Entry point of ``dogwoodlever-fleetd``; returns the exit status."""
    # The daemon's libraries load for a while, and a reload that is asked for
    # meanwhile must not end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from dogwoodlever._fleet_daemon import run

    return run()


if __name__ == "__main__":
    sys.exit(main())
