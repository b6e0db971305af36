"""Entry point of `python -m balsamlug`."""

import importlib
import signal
import sys

ENTRY = "entry"


def main() -> None:
    """Run the command named by the arguments."""
    if ENTRY in sys.argv[1:2]:
        # SIGHUP requests a reload of the settings. The handler is installed
        # only after the imports, and the default action of a signal that
        # arrives before would end the process.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    importlib.import_module("balsamlug.application").run()


if __name__ == "__main__":
    main()
