"""Gossip in real front processes on loopback: a lying member, key rotation, key files, gossip off."""

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
from micahold.laboratory.reserved_port import ReservedPort
from micahold.membership.signing import (
    Ed25519Signer,
    KeyFileError,
    generate_key,
    read_keyring,
    read_signing_keys,
    write_public_keys,
    write_signing_keys,
)
from tests.standins import Channel, Client, Engine, configuration, list_event, member, wait_until

ROOT = Path(__file__).parent.parent
ROWS = 3
RATE = 16 * 1024
# Resident memory of release 0.3.0 after its start, measured as in the test below, median of three.
LAST_RELEASE_MEMORY_KB = 33_160


def unused_port(taken: set[int] = set()) -> int:  # noqa: B006  # shared on purpose, so that no port is used twice
    """Return a free TCP and UDP port below the system's ephemeral range, which outgoing connections use."""
    for port in range(21000 + os.getpid() % 500 * 20, 32000):
        if port in taken:
            continue
        taken.add(port)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as probe_socket:
                    probe_socket.bind(("127.0.0.1", port))
        except OSError:
            continue
        return port
    raise AssertionError("no port is free")


class Fleet:
    """Front processes with gossip, and lying members, with two engines and a channel in this process."""

    def __init__(self, folder: Path, fronts: int, liars: int = 0) -> None:
        self.folder, self.names = folder, [f"g{number}" for number in range(fronts + liars)]
        self.channel, self.engines = Channel(), [Engine(), Engine()]
        self.ports = {name: unused_port() for name in self.names}
        self.gossip_ports = {name: unused_port() for name in self.names}
        keys = {name: generate_key("k1") for name in self.names}
        write_public_keys(str(folder / "members.keys"), [keys[name].public_key(name) for name in self.names])
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        members = [member(f"s-{index}", engine.port) for index, engine in enumerate(self.engines)]
        for name in self.names:
            write_signing_keys(str(folder / f"{name}.keys"), [keys[name]])
            seeds = " ".join(f'"127.0.0.1:{self.gossip_ports[seed]}"' for seed in self.names[:2])
            (folder / f"{name}.sexp").write_text(
                f'(gossip (listen "127.0.0.1:{self.gossip_ports[name]}") (name {name}) (keys "{name}.keys")'
                f' (members "members.keys") (seeds {seeds}) (period 300ms) (probe_timeout 100ms))'
            )
            front_configuration = {
                **configuration(self.ports[name], self.channel.port), "name": name,
                "known": {"cursor": 3, "cmds": [list_event(3, *members)]},
            }  # fmt: skip
            (folder / f"{name}.json").write_text(json.dumps(front_configuration))
        for name in self.names[:fronts]:
            self.start(name, "micahold")
        for name in self.names[fronts:]:
            self.start(
                name, "micahold.laboratory.lying_peer", str(folder / f"{name}.sexp"), name, "s-0", "s-1"
            )

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a module as a process of this name; its log goes to a file."""
        environment = {
            **os.environ,
            "NODE_CONFIG": str(self.folder / f"{name}.json"),
            "MICAHOLD_OPERATOR": str(self.folder / f"{name}.sexp"),
        }
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *arguments], cwd=ROOT, env=environment, stdout=log
            )

    def log_events(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the complete log lines of one event of a front."""
        lines = (self.folder / f"{name}.log").read_bytes().splitlines(keepends=True)
        return [
            entry
            for entry in map(json.loads, (line for line in lines if line.endswith(b"\n")))
            if entry["event"] == event
        ]

    def live_members(self, name: str) -> set[str]:
        """Return the members whose latest status in this front's log is alive or suspect."""
        statuses: dict[str, str] = {}
        for entry in self.log_events(name, "member"):
            statuses[entry["name"]] = entry["now"]
        return {member_name for member_name, status in statuses.items() if status in ("alive", "suspect")}

    def members_view(self, name: str) -> dict[str, Any]:
        """Return the answer of ``micahold members`` for this front."""
        result = CliRunner().invoke(command, ["members", str(self.folder / f"{name}.sexp"), "--json"])
        assert result.exit_code == 0, result.output
        answer: dict[str, Any] = json.loads(result.output)
        return answer

    def stop(self) -> None:
        """Kill all processes."""
        for process in self.processes.values():
            process.kill()
            process.wait()


@pytest.fixture
def folder(tmp_path: Path) -> Iterator[Path]:
    yield tmp_path


def test_ten_processes_serve_queries_while_one_sends_false_reports(folder: Path) -> None:
    fleet = Fleet(folder, 9, liars=1)
    try:
        fronts = fleet.names[:9]
        wait_until(
            lambda: all(fleet.live_members(name) == set(fleet.names) - {name} for name in fronts), 30.0
        )
        answered, number = 0, 0
        for _ in range(8):
            for name in fronts:
                number += 1
                # A front closes sessions that wait for their first command, so each asks at once.
                client = Client(fleet.ports[name])
                answered += len(client.ask(number, b"SELECT rows FROM s_3.t")) == ROWS
                client.close()
        assert answered == number
        wait_until(
            lambda: (
                "g9"
                in {
                    member_row["name"]
                    for member_row in fleet.members_view("g0")["members"]
                    if member_row["credit"] is not None
                }
            )
        )
        request_counts = [len(engine.requests) for engine in fleet.engines]
        assert min(request_counts) > 0 and sum(request_counts) >= number
        for name in fronts:
            assert fleet.members_view(name)["failing"] == []
            fleet.processes[name].send_signal(signal.SIGTERM)
        for name in fronts:
            assert fleet.processes[name].wait(20) == 0
            counters = fleet.log_events(name, "counters")[-1]
            assert 0 < counters["most_gossip_bytes_a_second"] <= RATE
            assert counters["queries_served"] == 8
            assert "gossip_faults" not in counters
    finally:
        fleet.stop()


def test_key_rotation_by_sighup_and_members_command(folder: Path) -> None:
    fleet = Fleet(folder, 3)
    try:
        wait_until(
            lambda: all(fleet.live_members(name) == set(fleet.names) - {name} for name in fleet.names), 20.0
        )
        own_keys, members_keys = str(folder / "g1.keys"), str(folder / "members.keys")
        runner = CliRunner()
        assert runner.invoke(command, ["keys", "make", "--own", own_keys]).exit_code == 0
        assert (
            runner.invoke(
                command, ["keys", "trust", "--own", own_keys, "--members", members_keys, "--name", "g1"]
            ).exit_code
            == 0
        )
        assert [key.key_id for key in read_signing_keys(own_keys)] == ["k1", "k2"]
        for name in ("g0", "g2", "g1"):
            fleet.processes[name].send_signal(signal.SIGHUP)
            wait_until(partial(fleet.log_events, name, "operator_reload"))
        wait_until(
            lambda: all(
                _incarnation(fleet, front, "g1") == fleet.members_view("g1")["incarnation"]
                for front in ("g0", "g2")
            )
        )
        retire = [
            "keys",
            "retire",
            "--members",
            members_keys,
            "--own",
            own_keys,
            "--name",
            "g1",
            "--id",
            "k1",
        ]
        assert runner.invoke(command, retire).exit_code == 0
        for name in fleet.names:
            fleet.processes[name].send_signal(signal.SIGHUP)
        wait_until(lambda: all(len(fleet.log_events(front, "operator_reload")) == 2 for front in fleet.names))
        wait_until(
            lambda: all(fleet.members_view(name)["counts"].get("probes_good", 0) > 8 for name in fleet.names)
        )
        assert all(fleet.live_members(name) == set(fleet.names) - {name} for name in fleet.names)
        # An unusable file changes nothing and does not stop the front.
        (folder / "g0.sexp").write_text("(gossip (rate")
        fleet.processes["g0"].send_signal(signal.SIGHUP)
        wait_until(lambda: fleet.log_events("g0", "operator_reload_refused"))
        assert fleet.processes["g0"].poll() is None
        # A leaving member announces it, so the others log "left" and the size bound falls.
        fleet.processes["g2"].send_signal(signal.SIGTERM)
        assert fleet.processes["g2"].wait(20) == 0
        wait_until(lambda: any(entry["now"] == "left" for entry in fleet.log_events("g1", "member")))
        wait_until(lambda: fleet.members_view("g1")["bound"] == 2)
    finally:
        fleet.stop()


def _incarnation(fleet: Fleet, viewer: str, name: str) -> int:
    return next(
        int(row["incarnation"]) for row in fleet.members_view(viewer)["members"] if row["name"] == name
    )


def test_front_without_gossip_imports_none_of_it_and_uses_no_more_memory(folder: Path) -> None:
    listener, channel = ReservedPort(), ReservedPort()
    (folder / "c.json").write_text(json.dumps(configuration(listener.port, channel.port)))
    script = (
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
    result = subprocess.run(
        [sys.executable, "-c", script], cwd=ROOT, env=environment, capture_output=True, timeout=20
    )
    _, memory_kb, *names = result.stderr.decode().split()
    assert int(memory_kb) < LAST_RELEASE_MEMORY_KB * 1.05
    modules = set(names)
    assert "micahold.controller" in modules
    absent_libraries = ("click", "rich", "msgspec", "sexpdata", "structlog", "cryptography", "numpy", "scipy")
    assert not [module for module in modules if module.split(".")[0] in absent_libraries]
    absent_packages = ("membership", "commands", "laboratory")
    assert not [
        module
        for module in modules
        if module.startswith("micahold.") and module.split(".")[1] in absent_packages
    ]


def test_unusable_operator_file_is_reported_and_exits_with_status_2(folder: Path) -> None:
    listener, channel = ReservedPort(), ReservedPort()
    (folder / "c.json").write_text(json.dumps(configuration(listener.port, channel.port)))
    (folder / "o.sexp").write_text('(gossip (listen "127.0.0.1:1") (rate x))')
    environment = {
        **os.environ,
        "NODE_CONFIG": str(folder / "c.json"),
        "MICAHOLD_OPERATOR": str(folder / "o.sexp"),
    }
    result = subprocess.run(
        [sys.executable, "-m", "micahold"], cwd=ROOT, env=environment, capture_output=True, timeout=20
    )
    assert result.returncode == 2
    assert result.stderr.decode().count("o.sexp:1: gossip.") == 3
    assert b"Traceback" not in result.stderr


# Key files


def test_key_files_round_trip_and_secrets_are_readable_only_by_their_owner(folder: Path) -> None:
    own_path, public_path = str(folder / "own"), str(folder / "all")
    keys = [generate_key("k1", until=2e9), generate_key("k2", since=1e9)]
    write_signing_keys(own_path, keys)
    write_public_keys(public_path, [own_key.public_key("a") for own_key in keys])
    assert read_signing_keys(own_path) == keys
    assert Path(own_path).stat().st_mode & 0o077 == 0
    keyring = read_keyring(public_path)
    signer = Ed25519Signer(keys)
    assert signer.sign(1.5e9, b"")[0] == "k2" and signer.sign(0.5e9, b"")[0] == "k1"
    key, signature = signer.sign(1.5e9, b"text")
    assert keyring.signature_rejection(1.5e9, "a", key, b"text", signature) is None
    assert keyring.signature_rejection(1.5e9, "a", key, b"other", signature) == "bad_signature"
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
def test_unusable_key_file_error_is_one_line_that_names_the_file(folder: Path, text: str) -> None:
    path = folder / "bad"
    path.write_text(text)
    with pytest.raises(KeyFileError) as caught:
        read_signing_keys(str(path))
    assert str(path) in str(caught.value) and "\n" not in str(caught.value)


def test_keys_list_shows_the_state_of_each_key(folder: Path) -> None:
    public_path = str(folder / "all")
    write_public_keys(
        public_path, [generate_key("k1", until=1e9).public_key("a"), generate_key("k2").public_key("a")]
    )
    result = CliRunner().invoke(command, ["keys", "list", "--members", public_path, "--json"])
    assert [(row["key"], row["state"]) for row in json.loads(result.output)] == [
        ("k1", "expired"),
        ("k2", "valid"),
    ]
    assert CliRunner().invoke(command, ["keys", "list", "--members", str(folder)]).exit_code != 0
