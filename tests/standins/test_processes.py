"""Guards against a signal that is sent before its receiver handles it."""

import signal
import time

import pytest

from balsamlug_standins import processes

HANDLE_S = 10.0


def test_handled_signals_of_a_process_are_known(tmp_path):
    # The server catches SIGINT once it has started and never SIGHUP.
    arguments = ["http.server", "0", "--bind", "127.0.0.1"]
    process = processes.Process("server", arguments, tmp_path)
    process.start()
    try:
        deadline_s = time.monotonic() + HANDLE_S
        while not process.handles(signal.SIGINT):
            assert time.monotonic() < deadline_s
        assert not process.handles(signal.SIGUSR1)
    finally:
        process.kill()
    assert not process.handles(signal.SIGINT)


def test_process_that_does_not_end_is_reported_with_its_kernel_state(tmp_path):
    process = processes.Process(
        "platform", ["balsamlug_standins.platform", "--port", "0"], tmp_path
    )
    process.start()
    try:
        process.wait_ready()
        process.pause()
        with pytest.raises(processes.ProcessFailed, match=r"T \(stopped\)"):
            process.wait_ended(0.2)
    finally:
        process.kill()
