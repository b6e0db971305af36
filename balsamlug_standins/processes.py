"""Start, signal and end real processes, each by its own process id."""

import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time

from balsamlug_standins import serving

ROOT = pathlib.Path(__file__).resolve().parent.parent
READY_TIMEOUT_S = 20.0
END_TIMEOUT_S = 5.0
POLL_S = 0.02
# Shells report a process that a signal ended with this added to its number.
SIGNAL_EXIT_BASE = 128
# Below the range the kernel gives to outgoing connections, so that a port
# that was free a moment ago is not taken by one of them.
PORTS = range(10_000, 32_000)
_READY = re.compile(r"^ready \S+ \S+:(\d+)$", re.MULTILINE)


class ProcessFailed(Exception):
    """A process ended or did not become ready."""


class Ports:
    """Free loopback ports, reserved until they are released.

    A process binds its ports some time after they were chosen. Until then, and
    between its restarts, a socket that does not listen keeps them from other
    users of this machine. SO_REUSEADDR on both sides lets the process listen.
    """

    def __init__(self) -> None:
        # Seeded by the system: parallel runs must not draw the same ports.
        self._rng = random.SystemRandom()
        self._held: list[socket.socket] = []

    def take(self) -> int:
        """Reserve a port."""
        while True:
            port = self._rng.choice(PORTS)
            if self._reserve(port):
                return port

    def release(self) -> None:
        """Release all ports."""
        for held in self._held:
            held.close()
        self._held.clear()

    def _reserve(self, port: int) -> bool:
        held = socket.socket()
        try:
            # Bound before the option is set, so that a port which another
            # process has bound is refused in every case.
            held.bind((serving.HOST, port))
        except OSError:
            held.close()
            return False
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.append(held)
        return True


def exit_on_sigterm() -> None:
    """Turn SIGTERM into an exit that ends the processes of a fleet."""

    def leave(number: int, frame: object) -> None:
        del frame
        sys.exit(SIGNAL_EXIT_BASE + number)

    signal.signal(signal.SIGTERM, leave)


class Process:
    """A process with its output in a file.

    Args:
      arguments: after `python -m`.
    """

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.output = directory / f"{name}.out"
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it; the output of earlier runs is kept in another file."""
        if self.output.exists():
            stamp = time.monotonic_ns()
            self.output.rename(self.output.with_suffix(f".{stamp}.out"))
        with self.output.open("w") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def running(self) -> bool:
        """Return whether it has been started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> int:
        """Wait for the ready line of a stand-in and return its port.

        Raises:
          ProcessFailed: it ended, or there is no such line in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            found = _READY.search(self.output.read_text())
            if found:
                return int(found.group(1))
            self.check_running()
            time.sleep(POLL_S)
        raise ProcessFailed(f"{self.name} is not ready in time")

    def check_running(self) -> None:
        """Raise ProcessFailed with the last output when it has ended."""
        if not self.running():
            tail = self.output.read_text()[-2000:]
            raise ProcessFailed(f"{self.name} ended:\n{tail}")

    def kill(self) -> None:
        """End it at once."""
        self._signal(signal.SIGKILL)
        self.wait_ended()

    def terminate(self) -> None:
        """Ask it to end."""
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Ask it to read its settings again."""
        self._signal(signal.SIGHUP)

    def pause(self) -> None:
        """Stop it without ending it."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process run on."""
        self._signal(signal.SIGCONT)

    def wait_ended(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait for the end and return the exit code.

        Raises:
          ProcessFailed: it does not end in time.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise ProcessFailed(f"{self.name} does not end") from exc

    def _signal(self, number: signal.Signals) -> None:
        # Popen sends nothing when the process has been waited for, so a
        # reused process id is never signalled.
        self._popen.send_signal(number)
