"""``micahold members``: shows the group membership as a running front sees it."""

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

ANSWER_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1 << 24


def request_view(address: tuple[str, int], name: str, signer: Ed25519Signer) -> dict[str, Any]:
    """The view of the member at ``address``; ``OSError`` where it does not answer.

    The request is signed with ``signer`` in the name of ``name``, since a front answers its own member only.
    """
    now = time.time()
    body = wire.encode(wire.Packet(name, 0, 0, int(now * 1000), (wire.ViewRequest(),), ()))
    key, _ = signer.sign(now, b"")
    key, signature = signer.sign(now, wire.signed_bytes(wire.StatementKind.PACKET, name, key, body))
    frame = wire.encode(wire.SignedStatement(wire.StatementKind.PACKET, name, key, body, signature))
    with socket.create_connection(address, ANSWER_TIMEOUT_S) as connection:
        connection.sendall(len(frame).to_bytes(4, "big") + frame)
        data = bytearray()
        while len(data) < 4 or len(data) < 4 + int.from_bytes(data[:4], "big"):
            received = connection.recv(65536)
            if not received or len(data) > MAX_ANSWER_BYTES:
                raise OSError(
                    "connection closed without an answer: check that name and key are those of the front"
                )
            data += received
    answer: dict[str, Any] = orjson.loads(bytes(data[4:]))
    return answer


@click.command("members")
@click.argument("file", required=False)
@click.option("--name", default=None, help="The member's name, if the file does not set it.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole answer as one JSON object.")
def command(file: str | None, name: str | None, as_json: bool) -> None:
    """Show the group as the front with this operator's FILE (by default MICAHOLD_OPERATOR) sees it."""
    path = file or os.environ.get("MICAHOLD_OPERATOR")
    if not path:
        raise click.UsageError("argument FILE is missing, and MICAHOLD_OPERATOR is not set")
    try:
        gossip = read_settings_file(path).gossip
        if gossip is None:
            raise click.ClickException(f"{path}: gossip is off")
        own = name or gossip.name
        if own is None:
            raise click.UsageError("the file sets no name: --name is required")
        address = gossip.listen
        answer = request_view(address, own, Ed25519Signer(read_signing_keys(gossip.keys)))
    except (OperatorFileError, KeyFileError) as error:
        raise click.ClickException(str(error)) from None
    except OSError as error:
        raise click.ClickException(f"{address[0]}:{address[1]}: {error}") from None
    if as_json:
        click.echo(orjson.dumps(answer))
        return
    from rich.console import Console
    from rich.table import Table

    console = Console()
    console.print(
        f"{answer['name']} at {answer['address']}: {answer['living']} alive of at most {answer['bound']}, "
        f"local health {answer['health']}"
    )
    table = Table("member", "address", "status", "for s", "heard s ago", "credit", "accused by")
    for member in answer["members"]:
        credit = "liar" if member["liar"] else "" if member["credit"] is None else f"{member['credit']:.2f}"
        last_heard = "never" if member["heard_s"] is None else f"{member['heard_s']:.1f}"
        table.add_row(
            member["name"], member["address"], member["status"], f"{member['since_s']:.1f}", last_heard,
            credit, " ".join(member["accusers"]),
        )  # fmt: skip
    console.print(table)
    for state in ("failing", "draining"):
        if answer[state]:
            console.print(f"{state} by peer reports: {', '.join(answer[state])}")
