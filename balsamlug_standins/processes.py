"""Start, signal and end operating system processes by process id."""

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
# Shells report a process that a signal ended with the exit code
# 128 + signal number.
SIGNAL_EXIT_BASE = 128
# Below the kernel's range of ephemeral ports, so that an outgoing connection
# cannot bind a port between the check that it is free and its use.
PORTS = range(10_000, 32_000)
# Masks of the signals that a process ignores and catches.
_HANDLED_SIGNALS = re.compile(r"^Sig(?:Ign|Cgt):\s*([0-9a-f]+)$", re.MULTILINE)
_STATE = re.compile(r"^State:\s*(.+)$", re.MULTILINE)
_READY = re.compile(r"^ready \S+ \S+:(\d+)$", re.MULTILINE)


class ProcessFailed(Exception):
    """A process ended, did not become ready or did not end in time."""


class Ports:
    """Free loopback ports, reserved until they are released.

    A process binds its ports some time after they are chosen. Until then, and
    between restarts of the process, a bound socket that does not listen
    prevents other processes of the machine from using the port. SO_REUSEADDR
    on both sockets lets the intended process listen.
    """

    def __init__(self) -> None:
        # Seeded by the system, because parallel runs must draw different ports.
        self._rng = random.SystemRandom()
        self._reservations: list[socket.socket] = []

    def take(self) -> int:
        """Reserve a port."""
        while True:
            port = self._rng.choice(PORTS)
            if self._reserve(port):
                return port

    def release(self) -> None:
        """Release all ports."""
        for reservation in self._reservations:
            reservation.close()
        self._reservations.clear()

    def _reserve(self, port: int) -> bool:
        reservation = socket.socket()
        try:
            # Bound before SO_REUSEADDR is set, so that bind() always fails for
            # a port that another process has bound.
            reservation.bind((serving.HOST, port))
        except OSError:
            reservation.close()
            return False
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reservations.append(reservation)
        return True


def exit_on_sigterm() -> None:
    """Exit on SIGTERM through SystemExit, which ends a fleet's processes."""

    def exit_process(number: int, frame: object) -> None:
        del frame
        sys.exit(SIGNAL_EXIT_BASE + number)

    signal.signal(signal.SIGTERM, exit_process)


class Process:
    """Python process whose output is written to a file.

    Args:
      arguments: arguments after `python -m`.

    Attributes:
      root: folder whose packages the next start imports first.
    """

    def __init__(
        self, name: str, arguments: list[str], directory: pathlib.Path
    ) -> None:
        self.name = name
        self.arguments = arguments
        self.root = ROOT
        self.output = directory / f"{name}.out"
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; rename the output file of an earlier run."""
        if self.output.exists():
            stamp = time.monotonic_ns()
            self.output.rename(self.output.with_suffix(f".{stamp}.out"))
        with self.output.open("w") as out:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                cwd=self.root,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    def handles(self, number: signal.Signals) -> bool:
        """Return whether the process ignores or catches a signal."""
        try:
            text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return False
        masks = [int(mask, 16) for mask in _HANDLED_SIGNALS.findall(text)]
        return any(mask >> (number - 1) & 1 for mask in masks)

    def running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> int:
        """Wait for the ready line of a stand-in and return its port.

        Raises:
          ProcessFailed: the process ended, or was not ready in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            match = _READY.search(self.output.read_text())
            if match:
                return int(match.group(1))
            self.check_running()
            time.sleep(POLL_S)
        raise ProcessFailed(f"{self.name} is not ready in time")

    def check_running(self) -> None:
        """Raise ProcessFailed with the last output if the process has ended."""
        if not self.running():
            tail = self.output.read_text()[-2000:]
            raise ProcessFailed(f"{self.name} ended:\n{tail}")

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self._signal(signal.SIGKILL)
        self.wait_ended()

    def terminate(self) -> None:
        """Send SIGTERM, which requests a graceful end."""
        self._signal(signal.SIGTERM)

    def reload(self) -> None:
        """Send SIGHUP, which requests a reload of the settings."""
        self._signal(signal.SIGHUP)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue a paused process."""
        self._signal(signal.SIGCONT)

    def wait_ended(self, timeout_s: float = END_TIMEOUT_S) -> int:
        """Wait until the process ends and return its exit code.

        Raises:
          ProcessFailed: the process does not end in time.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired as exc:
            raise ProcessFailed(
                f"{self.name} has not ended in time: {self._kernel_state()}"
            ) from exc

    def _kernel_state(self) -> str:
        """Return the state and the kernel function that it waits in."""
        proc = pathlib.Path(f"/proc/{self.pid}")
        try:
            state = _STATE.search((proc / "status").read_text())
            return f"{state.group(1)} {(proc / 'wchan').read_text()}"
        except OSError:
            return "unknown"

    def _signal(self, number: signal.Signals) -> None:
        # Popen sends no signal after the process has been waited for, so a
        # process that reuses the id is never signalled.
        self._popen.send_signal(number)
