"""Entry point of the command line."""

import importlib
import signal
import sys

ENTRY = "entry"


def main() -> None:
    """Run the command named by the arguments."""
    if ENTRY in sys.argv[1:2]:
        # Settings are read after the imports, which take a moment. A request
        # to read them again that comes before must not end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("balsamlug.application").run()


if __name__ == "__main__":
    main()
