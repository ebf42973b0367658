"""Tests of the front process, started by the deploy file's command, between stand-ins on loopback."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import time
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from micahold.laboratory.reserved_port import ReservedPort
from tests.mysql_client import ServerError, command_packet, query_packet
from tests.standins import Channel, Client, Engine, configuration, list_event, member, wait_until

ROOT = Path(__file__).parent.parent
ROWS = [(b"a", b"1", b"x"), (b"b", b"2", b"y"), (b"c", b"3", b"")]


class FrontProcess:
    """A front with one engine and a command channel, started by the deploy file's command."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.engine = Engine()
        self.channel = Channel()
        self._reserved_port = ReservedPort()
        self.port = self._reserved_port.port
        config = {**configuration(self.port, self.channel.port, self.engine.port), **changes}
        path = folder / "config.json"
        path.write_text(json.dumps(config))
        command_line = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = (folder / "log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command_line],
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
            stdout=self.log,
            stderr=subprocess.PIPE,
        )

    def wait_until_serving(self) -> FrontProcess:
        wait_until(lambda: any(event["event"] == "phase" for event in self.events()))
        wait_until(lambda: self.channel.cursors)
        return self

    def events(self) -> list[dict[str, Any]]:
        """The log events written so far."""
        lines = Path(self.log.name).read_bytes().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith(b"\n")]

    def counters(self) -> dict[str, Any]:
        """The last ``counters`` event of the log."""
        return [event for event in self.events() if event["event"] == "counters"][-1]

    def wait_for_exit(self) -> tuple[int, bytes]:
        """Waits for the process to end; returns its exit status and standard error."""
        _, errors = self.process.communicate(timeout=20)
        self.log.close()
        return self.process.returncode, errors


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontProcess]:
    front_process = FrontProcess(tmp_path).wait_until_serving()
    yield front_process
    front_process.process.kill()
    front_process.wait_for_exit()


def test_query_is_served_and_its_statement_reaches_the_engine_unchanged(front: FrontProcess) -> None:
    client = Client(front.port)
    statement = b"SELECT '\xc3\xa9' FROM rows_3.t"
    assert client.ask(1, statement, class_="load", once="5c0f6e1a") == ROWS
    request_line, headers, body = front.engine.requests[0]
    assert request_line == "POST /data HTTP/1.1"
    assert (headers["via-id"], headers["via-class"], headers["via-token"]) == (
        f"{1:016x}",
        "load",
        "5c0f6e1a",
    )
    assert body == statement
    assert front.channel.cursors == ["3"]
    client.send(command_packet(0x0E))
    assert client.read()[4] == 0


def test_refusal_carries_a_retry_hint(front: FrontProcess) -> None:
    client = Client(front.port)
    with pytest.raises(ServerError) as caught:
        client.ask(1, b"SELECT full FROM s_3.t", wait=600)
    assert caught.value.code in (1040, 1203, 1226)
    assert caught.value.text.startswith("after=")


def test_kill_query_cancels_the_attempt(front: FrontProcess) -> None:
    client, killer = Client(front.port), Client(front.port)
    client.send(
        query_packet(b"/* class=lookup,id=00000000000000aa,wait=4000,tenant=one */ SELECT hold FROM s_3.t")
    )
    wait_until(lambda: front.engine.running)
    killer.send(query_packet(b"KILL QUERY %d" % client.id))
    assert killer.read()[4] == 0
    wait_until(lambda: not front.engine.running)  # the engine has received DELETE


def test_drain_answers_accepted_queries_and_exits_with_0(front: FrontProcess) -> None:
    client = Client(front.port)
    client.send(
        query_packet(b"/* class=lookup,id=00000000000000aa,wait=4000,tenant=one */ SELECT slow FROM s_3.t")
    )
    wait_until(lambda: front.engine.running)
    front.process.send_signal(signal.SIGTERM)
    front.process.send_signal(signal.SIGTERM)
    late_client = Client(front.port)  # the front still accepts connections in the notice phase
    assert late_client.ask(2, b"SELECT rows FROM s_3.t") == ROWS
    assert client.read()[4:5] == b"\x03"
    status, errors = front.wait_for_exit()
    assert (status, errors) == (0, b"")
    assert [event["phase"] for event in front.events() if event["event"] == "phase"][-1] == "stopped"
    counts = front.counters()
    assert counts["queries_taken"] == counts["queries_served"] == 2
    assert counts["open"] == 0


def test_sigusr1_logs_counters_that_add_up(front: FrontProcess) -> None:
    client = Client(front.port)
    assert client.ask(1, b"SELECT rows FROM s_3.t") == ROWS
    client.send(
        query_packet(b"/* class=lookup,id=00000000000000aa,wait=4000,tenant=one */ SELECT hold FROM s_3.t")
    )
    wait_until(lambda: f"{0xAA:016x}" in front.engine.running)
    front.process.send_signal(signal.SIGUSR1)
    wait_until(lambda: any(event["event"] == "counters" for event in front.events()))
    counts = front.counters()
    assert counts["queries_taken"] == 2
    assert counts["queries_served"] + counts["open"] == 2


def test_draining_engine_gets_no_more_queries(front: FrontProcess) -> None:
    client = Client(front.port)
    other_engine = Engine()
    assert client.ask(1, b"SELECT rows FROM s_3.t") == ROWS
    requests_before = len(front.engine.requests)
    front.channel.events.append(
        list_event(4, member("s-1", front.engine.port, "Terminating"), member("s-2", other_engine.port))
    )
    front.process.send_signal(signal.SIGUSR1)
    wait_until(
        lambda: client.ask(time.monotonic_ns() % 2**60, b"SELECT rows FROM s_3.t") and other_engine.requests
    )
    wait_until(lambda: len(other_engine.requests) >= 2)
    assert len(front.engine.requests) >= requests_before
    requests_after = len(front.engine.requests)
    assert client.ask(3, b"SELECT rows FROM s_3.t") == ROWS
    assert len(front.engine.requests) == requests_after


def test_front_starts_again_after_it_was_killed(tmp_path: Path) -> None:
    for _ in range(2):
        front = FrontProcess(tmp_path).wait_until_serving()
        assert Client(front.port).ask(1, b"SELECT rows FROM s_3.t") == ROWS
        front.process.kill()
        front.wait_for_exit()


@pytest.mark.parametrize("changes", [{"settings": 3}, {"listen": "nowhere"}])
def test_invalid_configuration_is_reported_in_one_line(tmp_path: Path, changes: dict[str, Any]) -> None:
    status, errors = FrontProcess(tmp_path, **changes).wait_for_exit()
    assert status == 2
    assert len(errors.splitlines()) == 1 and b"Traceback" not in errors


def test_address_in_use_is_reported_in_one_line(tmp_path: Path) -> None:
    engine = Engine()
    status, errors = FrontProcess(tmp_path, listen=f"127.0.0.1:{engine.port}").wait_for_exit()
    assert status == 1
    assert len(errors.splitlines()) == 1 and b"Traceback" not in errors


def test_sighup_changes_the_channel_and_never_ends_the_front(front: FrontProcess, tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    new_channel = Channel()
    engine = Engine()
    config = json.loads(path.read_text())

    def refused_reload_count() -> int:
        return sum(event["event"] == "reload_refused" for event in front.events())

    for before, text in enumerate(("", "{", json.dumps({**config, "channel": "nowhere"}))):
        path.write_text(text)
        front.process.send_signal(signal.SIGHUP)
        wait_until(lambda before=before: refused_reload_count() > before)  # type: ignore[misc]
    path.write_text(json.dumps({**config, "channel": f"127.0.0.1:{new_channel.port}"}))
    for _ in range(3):
        front.process.send_signal(signal.SIGHUP)
    wait_until(lambda: new_channel.cursors == ["3"])
    new_channel.events.append(list_event(4, member("s-2", engine.port)))
    client = Client(front.port)
    wait_until(lambda: client.ask(time.monotonic_ns() % 2**60, b"SELECT rows FROM s_3.t") and engine.requests)
    assert new_channel.cursors == ["3"]
    front.process.send_signal(signal.SIGTERM)
    front.process.send_signal(signal.SIGHUP)
    assert front.wait_for_exit()[0] == 0
