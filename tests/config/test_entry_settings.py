"""Guards against settings of a template whose variables are not set."""

import pytest
from returns import result

from balsamlug.config import loader

SETTINGS = """[entry]
id = node-0
failure_domain = z1
region = r1
address = 127.0.0.1
caller_address = 127.0.0.1:1
admin_address = 127.0.0.1:2
peer_address = 127.0.0.1:3
platform_address = 127.0.0.1:4
"""


def _load(path, text):
    file = path / "entry.ini"
    file.write_text(SETTINGS + text)
    return loader.load_entry(file)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", (0, 0)),
        ("memory_mb = \nmax_fds = \n", (0, 0)),
        ("memory_mb = 152\nmax_fds = 1535\n", (152, 1535)),
    ],
)
def test_bounds_of_the_machine_have_defaults(tmp_path, text, expected):
    settings = _load(tmp_path, text).unwrap()
    assert (settings.memory_mb, settings.max_fds) == expected


@pytest.mark.parametrize("value", ["-1", "many", "1.5"])
def test_malformed_bounds_are_reported(tmp_path, value):
    loaded = _load(tmp_path, f"memory_mb = {value}\n")
    assert isinstance(loaded, result.Failure)
    assert "memory_mb" in str(loaded.failure())
