"""Gossip beside real fronts on loopback: ten processes of which one lies, keys that change, and what is
off.
"""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from functools import partial
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from micahold.commands.cli import main as command
from micahold.membership.signing import (
    Hand,
    KeyFileError,
    make_key,
    read_members,
    read_own,
    write_members,
    write_own,
)
from tests.standins import Channel, Client, Engine, configuration, free_port, list_event, member, wait_until

ROOT = Path(__file__).parent.parent
ROWS = 3
RATE = 16 * 1024
LAST_RELEASE_KB = 33_160  # resident at the start, release 0.3.0, this test's probe, median of three


def quiet_port(taken: set[int] = set()) -> int:  # noqa: B006  # shared on purpose: none is given out twice
    """A port free for TCP and UDP, below those that the system gives to outgoing connections."""
    for port in range(21000 + os.getpid() % 500 * 20, 32000):
        if port in taken:
            continue
        taken.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as found:
                    found.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
    raise AssertionError("no port is free")


class Fleet:
    """Fronts with gossip, two engines, one channel; all of them processes of their own but the stand-ins."""

    def __init__(self, folder: Path, number: int, lying: int = 0) -> None:
        self.folder, self.names = folder, [f"g{one}" for one in range(number + lying)]
        self.channel, self.engines = Channel(), [Engine(), Engine()]
        self.ports = {name: quiet_port() for name in self.names}
        self.gossip = {name: quiet_port() for name in self.names}
        keys = {name: make_key("k1") for name in self.names}
        write_members(str(folder / "members.keys"), [keys[name].public(name) for name in self.names])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        members = [member(f"s-{at}", one.port) for at, one in enumerate(self.engines)]
        for name in self.names:
            write_own(str(folder / f"{name}.keys"), [keys[name]])
            seeds = " ".join(f'"127.0.0.1:{self.gossip[one]}"' for one in self.names[:2])
            (folder / f"{name}.sexp").write_text(
                f'(gossip (listen "127.0.0.1:{self.gossip[name]}") (name {name}) (keys "{name}.keys")'
                f' (members "members.keys") (seeds {seeds}) (period 300ms) (probe_timeout 100ms))'
            )
            item = {
                **configuration(self.ports[name], self.channel.port), "name": name,
                "known": {"cursor": 3, "cmds": [list_event(3, *members)]},
            }  # fmt: skip
            (folder / f"{name}.json").write_text(json.dumps(item))
        for name in self.names[:number]:
            self.start(name, "micahold")
        for name in self.names[number:]:
            self.start(
                name, "micahold.laboratory.lying_peer", str(folder / f"{name}.sexp"), name, "s-0", "s-1"
            )

    def start(self, name: str, module: str, *arguments: str) -> None:
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.folder / f"{name}.json"),
            "MICAHOLD_OPERATOR": str(self.folder / f"{name}.sexp"),
        }
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], cwd=ROOT, env=environment, stdout=log
            )

    def events(self, name: str, kind: str) -> list[dict[str, Any]]:
        lines = (self.folder / f"{name}.log").read_bytes().splitlines(keepends=True)
        return [
            one for one in map(json.loads, (x for x in lines if x.endswith(b"\n"))) if one["event"] == kind
        ]

    def alive(self, name: str) -> set[str]:
        """Members that this front's log says live."""
        last: dict[str, str] = {}
        for one in self.events(name, "member"):
            last[one["name"]] = one["now"]
        return {one for one, status in last.items() if status in ("alive", "suspect")}

    def asked(self, name: str) -> dict[str, Any]:
        told = CliRunner().invoke(command, ["members", str(self.folder / f"{name}.sexp"), "--json"])
        assert told.exit_code == 0, told.output
        answer: dict[str, Any] = json.loads(told.output)
        return answer

    def stop(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    yield tmp_path


def test_ten_processes_one_of_them_forging_claims(folder: Path) -> None:
    fleet = Fleet(folder, 9, lying=1)
    try:
        fronts = fleet.names[:9]
        wait_until(lambda: all(fleet.alive(name) == set(fleet.names) - {name} for name in fronts), 30.0)
        clients = {name: Client(fleet.ports[name]) for name in fronts}
        answered, number = 0, 0
        for _ in range(8):
            for name in fronts:
                number += 1
                answered += len(clients[name].ask(number, b"SELECT rows FROM s_3.t")) == ROWS
        assert answered == number
        wait_until(
            lambda: "g9" in {one["name"] for one in fleet.asked("g0")["members"] if one["credit"] is not None}
        )
        used = [len(one.requests) for one in fleet.engines]
        assert min(used) > 0 and sum(used) >= number
        for name in fronts:
            assert fleet.asked(name)["failing"] == []
            fleet.processes[name].send_signal(signal.SIGTERM)
        for name in fronts:
            assert fleet.processes[name].wait(20) == 0
            counters = fleet.events(name, "counters")[-1]
            assert 0 < counters["most_gossip_bytes_a_second"] <= RATE
            assert counters["queries_served"] == 8
            assert "gossip_faults" not in counters
    finally:
        fleet.stop()


def test_a_key_changes_in_service_by_sighup_and_members_are_asked(folder: Path) -> None:
    fleet = Fleet(folder, 3)
    try:
        wait_until(lambda: all(fleet.alive(name) == set(fleet.names) - {name} for name in fleet.names), 20.0)
        own, members = str(folder / "g1.keys"), str(folder / "members.keys")
        run = CliRunner()
        assert run.invoke(command, ["keys", "make", "--own", own]).exit_code == 0
        assert (
            run.invoke(
                command, ["keys", "trust", "--own", own, "--members", members, "--name", "g1"]
            ).exit_code
            == 0
        )
        assert [one.key for one in read_own(own)] == ["k1", "k2"]
        for name in ("g0", "g2", "g1"):
            fleet.processes[name].send_signal(signal.SIGHUP)
            wait_until(partial(fleet.events, name, "operator_reload"))
        wait_until(
            lambda: all(
                _incarnation(fleet, one, "g1") == fleet.asked("g1")["incarnation"] for one in ("g0", "g2")
            )
        )
        retire = ["keys", "retire", "--members", members, "--own", own, "--name", "g1", "--id", "k1"]
        assert run.invoke(command, retire).exit_code == 0
        for name in fleet.names:
            fleet.processes[name].send_signal(signal.SIGHUP)
        wait_until(lambda: all(len(fleet.events(one, "operator_reload")) == 2 for one in fleet.names))
        wait_until(lambda: all(fleet.asked(name)["counts"]["probes_good"] > 8 for name in fleet.names))
        assert all(fleet.alive(name) == set(fleet.names) - {name} for name in fleet.names)
        # A file that can't be used changes nothing and ends nothing.
        (folder / "g0.sexp").write_text("(gossip (rate")
        fleet.processes["g0"].send_signal(signal.SIGHUP)
        wait_until(lambda: fleet.events("g0", "operator_reload_refused"))
        assert fleet.processes["g0"].poll() is None
        # A leave is told: nobody suspects it, and the bound falls.
        fleet.processes["g2"].send_signal(signal.SIGTERM)
        assert fleet.processes["g2"].wait(20) == 0
        wait_until(lambda: any(one["now"] == "left" for one in fleet.events("g1", "member")))
        wait_until(lambda: fleet.asked("g1")["bound"] == 2)
    finally:
        fleet.stop()


def _incarnation(fleet: Fleet, viewer: str, name: str) -> int:
    return next(int(one["incarnation"]) for one in fleet.asked(viewer)["members"] if one["name"] == name)


def test_off_a_started_front_imports_nothing_of_it_and_is_no_larger(folder: Path) -> None:
    (folder / "c.json").write_text(json.dumps(configuration(free_port(), free_port())))
    probe = (
        "import sys, threading, os, signal\n"
        "from micahold.program import front\n"
        "plain = front.Front.start\n"
        "def start(self):\n"
        "    plain(self)\n"
        "    memory = next(one for one in open('/proc/self/status') if one.startswith('VmRSS'))\n"
        "    print('KB', memory.split()[1], *sorted(sys.modules), file=sys.stderr)\n"
        "    self.clock.callLater(0, self._stop)\n"
        "front.Front.start = start\n"
        "from micahold.program.start import start\n"
        "start()\n"
    )
    environment = {**os.environ, "NODE_CONFIG": str(folder / "c.json")}
    environment.pop("MICAHOLD_OPERATOR", None)
    done = subprocess.run(
        [sys.executable, "-c", probe], cwd=ROOT, env=environment, capture_output=True, timeout=20
    )
    _, memory, *names = done.stderr.decode().split()
    assert int(memory) < LAST_RELEASE_KB * 1.05
    modules = set(names)
    assert "micahold.controller" in modules
    unwanted = ("click", "rich", "msgspec", "sexpdata", "structlog", "cryptography", "numpy", "scipy")
    assert not [one for one in modules if one.split(".")[0] in unwanted]
    parts = ("membership", "commands", "laboratory")
    assert not [one for one in modules if one.startswith("micahold.") and one.split(".")[1] in parts]


def test_an_operators_file_that_cannot_be_used_is_told_and_ends_with_2(folder: Path) -> None:
    (folder / "c.json").write_text(json.dumps(configuration(free_port(), free_port())))
    (folder / "o.sexp").write_text('(gossip (listen "127.0.0.1:1") (rate x))')
    environment = {
        **os.environ,
        "NODE_CONFIG": str(folder / "c.json"),
        "MICAHOLD_OPERATOR": str(folder / "o.sexp"),
    }
    done = subprocess.run(
        [sys.executable, "-m", "micahold"], cwd=ROOT, env=environment, capture_output=True, timeout=20
    )
    assert done.returncode == 2
    assert done.stderr.decode().count("o.sexp:1: gossip.") == 3
    assert b"Traceback" not in done.stderr


# Key files


def test_key_files_are_read_as_written_and_secrets_are_for_their_owner_alone(folder: Path) -> None:
    path, public = str(folder / "own"), str(folder / "all")
    keys = [make_key("k1", until=2e9), make_key("k2", since=1e9)]
    write_own(path, keys)
    write_members(public, [one.public("a") for one in keys])
    assert read_own(path) == keys
    assert Path(path).stat().st_mode & 0o077 == 0
    ring = read_members(public)
    hand = Hand(keys)
    assert hand.sign(1.5e9, b"")[0] == "k2" and hand.sign(0.5e9, b"")[0] == "k1"
    key, signature = hand.sign(1.5e9, b"text")
    assert ring.signature_rejection(1.5e9, "a", key, b"text", signature) is None
    assert ring.signature_rejection(1.5e9, "a", key, b"other", signature) == "bad_signature"
    assert keys[0].seed.hex() not in repr(keys[0])


@pytest.mark.parametrize(
    "text",
    [
        "",
        "(",
        "(key)",
        '(key k1 "short")',
        "(key k1 x)",
        "(kay k1 x)",
        "3",
        '(key k1 "' + "A" * 43 + '=" (since x))',
    ],
)
def test_a_key_file_that_cannot_be_used_is_one_line_that_names_it(folder: Path, text: str) -> None:
    path = folder / "bad"
    path.write_text(text)
    with pytest.raises(KeyFileError) as caught:
        read_own(str(path))
    assert str(path) in str(caught.value) and "\n" not in str(caught.value)


def test_keys_are_listed_with_their_state(folder: Path) -> None:
    public = str(folder / "all")
    write_members(public, [make_key("k1", until=1e9).public("a"), make_key("k2").public("a")])
    told = CliRunner().invoke(command, ["keys", "list", "--members", public, "--json"])
    assert [(one["key"], one["state"]) for one in json.loads(told.output)] == [
        ("k1", "expired"),
        ("k2", "valid"),
    ]
    assert CliRunner().invoke(command, ["keys", "list", "--members", str(folder)]).exit_code != 0
