"""Guards a starting process against signals before its handlers are set."""

import importlib
import signal
import sys

import pytest

from balsamlug import __main__ as main_module


@pytest.fixture(autouse=True)
def _default_disposition():
    # A test run that was started by nohup ignores SIGHUP.
    previous = signal.signal(signal.SIGHUP, signal.SIG_DFL)
    yield
    signal.signal(signal.SIGHUP, previous)


def _disposition_at_import(monkeypatch, *arguments: str) -> object:
    """Return the disposition of SIGHUP while the application is imported."""
    dispositions = []

    class Application:
        run = staticmethod(lambda: None)

    def import_module(name: str) -> type:
        del name
        dispositions.append(signal.getsignal(signal.SIGHUP))
        return Application

    monkeypatch.setattr(sys, "argv", ["balsamlug", *arguments])
    monkeypatch.setattr(importlib, "import_module", import_module)
    main_module.main()
    return dispositions[0]


def test_a_reload_during_the_start_does_not_end_the_entry_process(monkeypatch):
    assert _disposition_at_import(monkeypatch, "entry") is signal.SIG_IGN


def test_other_commands_end_when_their_terminal_closes(monkeypatch):
    assert _disposition_at_import(monkeypatch, "status") is signal.SIG_DFL
