"""The command line, ``dogwoodlever``."""

import sys

from dogwoodlever._cli_app import app, run

__all__ = ["app", "main"]


def main() -> None:
    """Entry point of ``dogwoodlever``."""
    sys.exit(run())


if __name__ == "__main__":
    main()
