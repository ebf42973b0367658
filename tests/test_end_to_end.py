"""The program as ``run`` starts it, on loopback, between the stand-ins."""

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

from tests.mysql_client import ServerError, command_packet, query_packet
from tests.standins import Channel, Client, Engine, configuration, free_port, list_event, member, until

ROOT = Path(__file__).parent.parent
ROWS = [(b"a", b"1", b"x"), (b"b", b"2", b"y"), (b"c", b"3", b"")]


class Program:
    """One front, started by the deploy file's own command."""

    def __init__(self, folder: Path, **changes: Any) -> None:
        self.engine, self.channel, self.port = Engine(), Channel(), free_port()
        item = {**configuration(self.port, self.channel.port, self.engine.port), **changes}
        path = folder / "config.json"
        path.write_text(json.dumps(item))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = (folder / "log").open("wb")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env={**os.environ, "NODE_CONFIG": str(path)},
            stdout=self.log,
            stderr=subprocess.PIPE,
        )

    def serving(self) -> Program:
        until(lambda: any(event["event"] == "phase" for event in self.events()))
        until(lambda: self.channel.cursors)
        return self

    def events(self) -> list[dict[str, Any]]:
        lines = Path(self.log.name).read_bytes().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith(b"\n")]

    def counters(self) -> dict[str, Any]:
        return [event for event in self.events() if event["event"] == "counters"][-1]

    def end(self) -> tuple[int, bytes]:
        _, errors = self.process.communicate(timeout=20)
        self.log.close()
        return self.process.returncode, errors


@pytest.fixture
def program(tmp_path: Path) -> Iterator[Program]:
    made = Program(tmp_path).serving()
    yield made
    made.process.kill()
    made.end()


def test_a_query_is_served_and_what_passes_on_is_unchanged(program: Program) -> None:
    client = Client(program.port)
    statement = b"SELECT '\xc3\xa9' FROM rows_3.t"
    assert client.ask(1, statement, class_="load", once="5c0f6e1a") == ROWS
    first, headers, body = program.engine.requests[0]
    assert first == "POST /data HTTP/1.1"
    assert (headers["via-id"], headers["via-class"], headers["via-token"]) == (
        f"{1:016x}",
        "load",
        "5c0f6e1a",
    )
    assert body == statement
    assert program.channel.cursors == ["3"]
    client.send(command_packet(0x0E))
    assert client.read()[4] == 0


def test_a_query_is_refused_with_a_hint(program: Program) -> None:
    client = Client(program.port)
    with pytest.raises(ServerError) as caught:
        client.ask(1, b"SELECT full FROM s_3.t", wait=600)
    assert caught.value.code in (1040, 1203, 1226)
    assert caught.value.text.startswith("after=")


def test_a_query_is_cancelled(program: Program) -> None:
    client, killer = Client(program.port), Client(program.port)
    client.send(
        query_packet(b"/* class=lookup,id=00000000000000aa,wait=4000,tenant=one */ SELECT hold FROM s_3.t")
    )
    until(lambda: program.engine.started)
    killer.send(query_packet(b"KILL QUERY %d" % client.id))
    assert killer.read()[4] == 0
    until(lambda: not program.engine.started)  # DELETE came


def test_a_drain_answers_what_was_taken_and_ends_with_0(program: Program) -> None:
    client = Client(program.port)
    client.send(
        query_packet(b"/* class=lookup,id=00000000000000aa,wait=4000,tenant=one */ SELECT slow FROM s_3.t")
    )
    until(lambda: program.engine.started)
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGTERM)
    late = Client(program.port)  # the notice has only begun
    assert late.ask(2, b"SELECT rows FROM s_3.t") == ROWS
    assert client.read()[4:5] == b"\x03"
    code, errors = program.end()
    assert (code, errors) == (0, b"")
    assert [event["phase"] for event in program.events() if event["event"] == "phase"][-1] == "stopped"
    counts = program.counters()
    assert counts["queries_taken"] == counts["queries_served"] == 2
    assert counts["open"] == 0


def test_counters_are_printed_on_request_and_add_up(program: Program) -> None:
    client = Client(program.port)
    assert client.ask(1, b"SELECT rows FROM s_3.t") == ROWS
    client.send(
        query_packet(b"/* class=lookup,id=00000000000000aa,wait=4000,tenant=one */ SELECT hold FROM s_3.t")
    )
    until(lambda: f"{0xAA:016x}" in program.engine.started)
    program.process.send_signal(signal.SIGUSR1)
    until(lambda: any(event["event"] == "counters" for event in program.events()))
    counts = program.counters()
    assert counts["queries_taken"] == 2
    assert counts["queries_served"] + counts["open"] == 2


def test_an_engine_that_drains_is_sent_nothing_more(program: Program) -> None:
    client, other = Client(program.port), Engine()
    assert client.ask(1, b"SELECT rows FROM s_3.t") == ROWS
    before = len(program.engine.requests)
    program.channel.events.append(
        list_event(4, member("s-1", program.engine.port, "Terminating"), member("s-2", other.port))
    )
    program.process.send_signal(signal.SIGUSR1)
    until(lambda: client.ask(time.monotonic_ns() % 2**60, b"SELECT rows FROM s_3.t") and other.requests)
    until(lambda: len(other.requests) >= 2)
    assert len(program.engine.requests) >= before
    after = len(program.engine.requests)
    assert client.ask(3, b"SELECT rows FROM s_3.t") == ROWS
    assert len(program.engine.requests) == after


def test_a_front_that_was_killed_starts_over(tmp_path: Path) -> None:
    for _ in range(2):
        program = Program(tmp_path).serving()
        assert Client(program.port).ask(1, b"SELECT rows FROM s_3.t") == ROWS
        program.process.kill()
        program.end()


@pytest.mark.parametrize("changes", [{"settings": 3}, {"listen": "nowhere"}])
def test_a_broken_configuration_is_one_plain_line(tmp_path: Path, changes: dict[str, Any]) -> None:
    code, errors = Program(tmp_path, **changes).end()
    assert code == 2
    assert len(errors.splitlines()) == 1 and b"Traceback" not in errors


def test_an_address_in_use_is_one_plain_line(tmp_path: Path) -> None:
    taken = Engine()
    code, errors = Program(tmp_path, listen=f"127.0.0.1:{taken.port}").end()
    assert code == 1
    assert len(errors.splitlines()) == 1 and b"Traceback" not in errors


def test_sighup_takes_the_new_channel_over_and_never_ends_the_program(
    program: Program, tmp_path: Path
) -> None:
    path, other, engine = tmp_path / "config.json", Channel(), Engine()
    item = json.loads(path.read_text())

    def refused() -> int:
        return sum(event["event"] == "reload_refused" for event in program.events())

    for before, text in enumerate(("", "{", json.dumps({**item, "channel": "nowhere"}))):
        path.write_text(text)
        program.process.send_signal(signal.SIGHUP)
        until(lambda before=before: refused() > before)  # type: ignore[misc]
    path.write_text(json.dumps({**item, "channel": f"127.0.0.1:{other.port}"}))
    for _ in range(3):
        program.process.send_signal(signal.SIGHUP)
    until(lambda: other.cursors == ["3"])
    other.events.append(list_event(4, member("s-2", engine.port)))
    client = Client(program.port)
    until(lambda: client.ask(time.monotonic_ns() % 2**60, b"SELECT rows FROM s_3.t") and engine.requests)
    assert other.cursors == ["3"]
    program.process.send_signal(signal.SIGTERM)
    program.process.send_signal(signal.SIGHUP)
    assert program.end()[0] == 0
