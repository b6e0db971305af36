"""Guards the test fleet, which ends and restarts real processes.

A process that outlives its fleet, or that runs after it was killed, would
disturb later tests.
"""

import asyncio
import os
import signal

import pytest
from returns import result
from tornado import web

from balsamlug.config import loader
from balsamlug_standins import control
from balsamlug_standins import fleet
from balsamlug_standins import fleet_spec
from balsamlug_standins import processes
from balsamlug_standins import serving

pytestmark = pytest.mark.integration


class _Failure(Exception):
    pass


def _spec(**changes):
    return fleet_spec.FleetSpec(
        **({"nodes": 0, "engines": {"fabric-1": 1}} | changes)
    )


def _exists(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_all_processes_end_on_a_failure(tmp_path):
    with (
        pytest.raises(_Failure),
        fleet.Fleet(_spec(), tmp_path) as running_fleet,
    ):
        pids = [running_fleet.platform.process.pid]
        pids += [e.process.pid for e in running_fleet.engines.values()]
        pids += [s.process.pid for s in running_fleet.services.values()]
        running_fleet.engines["fabric-1-e0"].process.pause()
        raise _Failure
    assert len(pids) == 3
    assert not any(_exists(pid) for pid in pids)


def test_engine_record_survives_a_crash_and_restart(tmp_path):
    settings = {"load_ms": 10, "crash_marker": "boom", "token_interval_ms": 5}
    spec = _spec(engine_settings=settings)
    with fleet.Fleet(spec, tmp_path) as running_fleet:
        engine = running_fleet.engines["fabric-1-e0"]
        order = {
            "fencing": 1,
            "kind": "join",
            "group": "g",
            "generation": 1,
            "rank": 0,
            "members": ["fabric-1-e0"],
            "addresses": [engine.address],
            "model": "m",
            "version": "1",
        }
        control.post(engine.port, "/v1/orders", **order)
        body = {
            "request_id": "r",
            "prompt": "a boom",
            "max_tokens": 9,
            "group": "g",
            "generation": 1,
        }
        running_fleet.wait_until(
            lambda: _is_admitted(engine.port, body),
            "admission of the request",
        )
        assert engine.process.wait_ended() == 70
        runs = running_fleet.engine_records()["fabric-1-e0"]
        assert [run["prompt"] for run in runs] == ["a boom"]
        running_fleet.restart_engine("fabric-1-e0")
        status = control.get(engine.port, "/v1/status")
        assert (status["incarnation"], status["state"]) == ("2", "idle")
        instances = control.get(running_fleet.platform.port, "/instances")[
            "instances"
        ]
        incarnations = {i["id"]: i["incarnation"] for i in instances}
        assert incarnations["fabric-1-e0"] == "2"


def _is_admitted(port, body):
    """Return whether the engine admitted the request.

    The connection fails if the engine admits the request and then crashes.
    """
    try:
        status, _ = control.call(port, "/v1/completions", "POST", body)
    except control.ControlError:
        return True
    return status != 503


def test_proxied_engine_is_reached_through_its_route(tmp_path):
    with fleet.Fleet(_spec(proxied=("engines",)), tmp_path) as running_fleet:
        engine = running_fleet.engines["fabric-1-e0"]
        route_port = int(engine.address.rpartition(":")[2])
        assert route_port != engine.port
        assert (
            control.get(route_port, "/v1/status")["instance"] == "fabric-1-e0"
        )
        running_fleet.set_faults("fabric-1-e0", reset=True)
        with pytest.raises(control.ControlError):
            control.get(route_port, "/v1/status")
        assert control.get(engine.port, "/v1/status")["state"] == "idle"


def test_configuration_is_accepted_by_the_loader(tmp_path):
    value = fleet_spec.configuration(_spec(), {"booking": 1234})
    loaded = loader.load(value["base"], value["overlays"][fleet_spec.SITE])
    assert isinstance(loaded, result.Success), loaded
    path = tmp_path / "node-1.ini"
    ports = fleet_spec.NodePorts(1001, 1002, 1003, 1004)
    fleet_spec.write_node_settings(path, 0, ports, 1234, [1, 2])
    assert isinstance(loader.load_node(path), result.Success)


def test_reserved_port_is_available_only_to_its_process(monkeypatch):
    async def run():
        _check_reservation(monkeypatch)

    asyncio.run(run())


def _check_reservation(monkeypatch):
    first, second = processes.Ports(), processes.Ports()
    other = second.take()
    second.release()
    taken = first.take()
    monkeypatch.setattr(processes, "PORTS", [taken, other])
    assert second.take() == other
    # The intended process can still listen on the port, also after a restart.
    for _ in range(2):
        server, port = serving.listen(web.Application(), taken)
        assert port == taken
        server.stop()
    first.release()
    assert second.take() == taken
    second.release()


def test_process_that_ends_early_is_reported_with_its_output(tmp_path):
    arguments = ["balsamlug_standins.platform", "--wrong"]
    process = processes.Process("p", arguments, tmp_path)
    process.start()
    with pytest.raises(processes.ProcessFailed, match="No such option"):
        process.wait_ready()
    with pytest.raises(processes.ProcessFailed):
        process.check_running()


def test_paused_process_answers_again_after_it_is_resumed(tmp_path):
    with fleet.Fleet(_spec(), tmp_path) as running_fleet:
        engine = running_fleet.engines["fabric-1-e0"]
        engine.process.pause()
        with pytest.raises(control.ControlError):
            control.call(engine.port, "/v1/status", timeout_s=0.3)
        engine.process.resume()
        assert control.get(engine.port, "/v1/status")["state"] == "idle"
        engine.process.terminate()
        assert engine.process.wait_ended() in (0, -signal.SIGTERM)
