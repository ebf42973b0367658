"""``micahold keys``: the keys of gossip members, from their making to their end."""

from __future__ import annotations

import base64
from datetime import UTC, datetime, timedelta
from pathlib import Path

import click
import orjson

from micahold.membership.keyring import PublicKey
from micahold.membership.signing import (
    KeyFileError,
    SigningKey,
    generate_key,
    read_keyring,
    read_signing_keys,
    write_public_keys,
    write_signing_keys,
)
from micahold.program import units

OWN = click.option("--own", required=True, type=click.Path(dir_okay=False), help="The member's own key file.")
MEMBERS = click.option(
    "--members", required=True, type=click.Path(dir_okay=False), help="The file of all members' public keys."
)


@click.group("keys")
def command() -> None:
    """Make, list, add and retire the keys of gossip members.

    To change a key in service: `make` a second one, give its public line to all members with `trust`, send
    all of them SIGHUP, then the owner; a while later `retire` the old one everywhere, and SIGHUP again.
    """


def _own(path: str) -> list[SigningKey]:
    return read_signing_keys(path) if Path(path).exists() else []


def _members(path: str) -> list[PublicKey]:
    if not Path(path).exists():
        return []
    return [one for keys in read_keyring(path).keys.values() for one in keys.values()]


def _fail(problem: KeyFileError) -> click.ClickException:
    return click.ClickException(str(problem))


@command.command("make")
@OWN
@click.option("--id", "name", default=None, help="The key's id; by default k1, k2, ...")
@click.option(
    "--lasts", default=None, metavar="TIME", help="Its validity, such as 90d; by default without end."
)
def make(own: str, name: str | None, lasts: str | None) -> None:
    """Make a key and add it to the member's own file, which only its owner can read."""
    try:
        keys = _own(own)
        names = {one.key_id for one in keys}
        chosen = name or next(f"k{at}" for at in range(1, len(keys) + 2) if f"k{at}" not in names)
        if chosen in names:
            raise KeyFileError(f"{own}: has a key {chosen} already")
        now = datetime.now(UTC)
        until = float("inf")
        if lasts is not None:
            try:
                until = (now + timedelta(seconds=units.duration(lasts))).timestamp()
            except ValueError as problem:
                raise click.UsageError(f"--lasts: expected {problem}") from None
        write_signing_keys(own, [*keys, generate_key(chosen, now.timestamp() if keys else 0.0, until)])
    except KeyFileError as problem:
        raise _fail(problem) from None
    click.echo(f"{own}: key {chosen} made")


@command.command("trust")
@OWN
@MEMBERS
@click.option("--name", required=True, help="The member whose keys these are.")
def trust(own: str, members: str, name: str) -> None:
    """Put the public parts of a member's own keys into the file of all members."""
    try:
        mine = [one.public_key(name) for one in read_signing_keys(own)]
        others = [one for one in _members(members) if one.member != name]
        write_public_keys(members, [*others, *mine])
    except KeyFileError as problem:
        raise _fail(problem) from None
    click.echo(f"{members}: {name} with {len(mine)} keys")


@command.command("retire")
@MEMBERS
@click.option(
    "--own", default=None, type=click.Path(dir_okay=False), help="Take it out of this file as well."
)
@click.option("--name", required=True, help="The member.")
@click.option("--id", "key", default=None, help="The key; all of the member's if not given.")
def retire(members: str, own: str | None, name: str, key: str | None) -> None:
    """Take a member's key, or the member, out of the file of all members."""
    try:
        before = _members(members)
        after = [one for one in before if one.member != name or (key is not None and one.key != key)]
        if len(after) == len(before):
            raise KeyFileError(f"{members}: no such key")
        write_public_keys(members, after)
        if own is not None and key is not None:
            left = [one for one in read_signing_keys(own) if one.key_id != key]
            if not left:
                raise KeyFileError(f"{own}: {key} is its only key")
            write_signing_keys(own, left)
    except KeyFileError as problem:
        raise _fail(problem) from None
    click.echo(f"{members}: {len(before) - len(after)} retired")


@command.command("list")
@MEMBERS
@click.option("--json", "as_json", is_flag=True, help="One JSON array instead of a table.")
def show(members: str, as_json: bool) -> None:
    """List the keys of all members with their validity."""
    try:
        keys = _members(members)
    except KeyFileError as problem:
        raise _fail(problem) from None
    now = datetime.now(UTC).timestamp()

    def state(one: PublicKey) -> str:
        return "not yet" if now < one.since else "expired" if now >= one.until else "valid"

    def moment(at: float) -> str | None:
        if at in (0.0, float("inf")):
            return None
        return datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds")

    if as_json:
        rows = [
            {"member": one.member, "key": one.key, "state": state(one), "since": moment(one.since),
             "until": moment(one.until), "public": base64.b64encode(one.public).decode()}
            for one in keys
        ]  # fmt: skip
        click.echo(orjson.dumps(rows))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table("member", "key", "state", "since", "until")
    for one in keys:
        table.add_row(one.member, one.key, state(one), moment(one.since) or "", moment(one.until) or "")
    Console().print(table)
