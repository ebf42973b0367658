"""``micahold members``: ask a running front what it knows of its group."""

from __future__ import annotations

import os
import socket
import time
from typing import Any

import click
import orjson

from micahold.membership import wire
from micahold.membership.signing import Ed25519Signer, KeyFileError, read_signing_keys
from micahold.program.operator_file import OperatorFileError, read_settings_file

ANSWER_S, MOST_ANSWER = 5.0, 1 << 24


def ask(address: tuple[str, int], name: str, hand: Ed25519Signer) -> dict[str, Any]:
    """The answer of the member at ``address``; ``OSError`` where it can't be had."""
    now = time.time()
    body = wire.encode(wire.Packet(name, 0, 0, int(now * 1000), (wire.ViewRequest(),), ()))
    key, _ = hand.sign(now, b"")
    key, signature = hand.sign(now, wire.signed_bytes(wire.StatementKind.PACKET, name, key, body))
    frame = wire.encode(wire.SignedStatement(wire.StatementKind.PACKET, name, key, body, signature))
    with socket.create_connection(address, ANSWER_S) as connection:
        connection.sendall(len(frame).to_bytes(4, "big") + frame)
        data = bytearray()
        while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
            more = connection.recv(65536)
            if not more or len(data) > MOST_ANSWER:
                raise OSError("the connection ended without an answer: another name or key than the front's?")
            data += more
    answer: dict[str, Any] = orjson.loads(bytes(data[4:]))
    return answer


@click.command("members")
@click.argument("file", required=False)
@click.option("--name", default=None, help="The member's name, where the file does not say it.")
@click.option("--json", "as_json", is_flag=True, help="The whole answer as one JSON object.")
def command(file: str | None, name: str | None, as_json: bool) -> None:
    """Ask the front whose operator's FILE this is (by default MICAHOLD_OPERATOR) about its group."""
    path = file or os.environ.get("MICAHOLD_OPERATOR")
    if not path:
        raise click.UsageError("FILE is missing, and MICAHOLD_OPERATOR is not set")
    try:
        gossip = read_settings_file(path).gossip
        if gossip is None:
            raise click.ClickException(f"{path}: gossip is off")
        own = name or gossip.name
        if own is None:
            raise click.UsageError("the file says no name: --name is needed")
        address = gossip.listen
        answer = ask(address, own, Ed25519Signer(read_signing_keys(gossip.keys)))
    except (OperatorFileError, KeyFileError) as problem:
        raise click.ClickException(str(problem)) from None
    except OSError as problem:
        raise click.ClickException(f"{address[0]}:{address[1]}: {problem}") from None
    if as_json:
        click.echo(orjson.dumps(answer))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console()
    console.print(
        f"{answer['name']} at {answer['address']}: {answer['living']} living of {answer['bound']}, "
        f"local health {answer['health']}"
    )
    table = Table("member", "address", "status", "for s", "heard s ago", "credit", "accused by")
    for one in answer["members"]:
        credit = "liar" if one["liar"] else "" if one["credit"] is None else f"{one['credit']:.2f}"
        heard = "never" if one["heard_s"] is None else f"{one['heard_s']:.1f}"
        table.add_row(
            one["name"], one["address"], one["status"], f"{one['since_s']:.1f}", heard, credit,
            " ".join(one["accusers"]),
        )  # fmt: skip
    console.print(table)
    for what in ("failing", "draining"):
        if answer[what]:
            console.print(f"{what} by hearsay: {', '.join(answer[what])}")
