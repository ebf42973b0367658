"""``micahold keys``: creates, distributes, lists and retires the keys of gossip members."""

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
    "--members", required=True, type=click.Path(dir_okay=False), help="The file of all public keys."
)


@click.group("keys")
def command() -> None:
    """Make, list, add and retire the keys of gossip members.

    To replace a key in service: `make` a second one, add its public part to the file of all members with
    `trust`, and send SIGHUP to all other members, then to its owner. Later, `retire` the old key in all files
    and send SIGHUP again.
    """


def _read_own_keys(path: str) -> list[SigningKey]:
    return read_signing_keys(path) if Path(path).exists() else []


def _read_public_keys(path: str) -> list[PublicKey]:
    if not Path(path).exists():
        return []
    return [key for keys in read_keyring(path).keys.values() for key in keys.values()]


def _command_error(error: KeyFileError) -> click.ClickException:
    return click.ClickException(str(error))


@command.command("make")
@OWN
@click.option("--id", "name", default=None, help="The key's id; by default the first free of k1, k2, ...")
@click.option(
    "--lasts", default=None, metavar="TIME", help="Its validity, such as 90d; unlimited by default."
)
def make(own: str, name: str | None, lasts: str | None) -> None:
    """Make a key and add it to the member's own key file, which only the file's owner can read."""
    try:
        keys = _read_own_keys(own)
        ids = {key.key_id for key in keys}
        new_id = name or next(f"k{number}" for number in range(1, len(keys) + 2) if f"k{number}" not in ids)
        if new_id in ids:
            raise KeyFileError(f"{own}: already has a key {new_id}")
        now = datetime.now(UTC)
        until = float("inf")
        if lasts is not None:
            try:
                until = (now + timedelta(seconds=units.duration(lasts))).timestamp()
            except ValueError as error:
                raise click.UsageError(f"--lasts: expected {error}") from None
        write_signing_keys(own, [*keys, generate_key(new_id, now.timestamp() if keys else 0.0, until)])
    except KeyFileError as error:
        raise _command_error(error) from None
    click.echo(f"{own}: key {new_id} made")


@command.command("trust")
@OWN
@MEMBERS
@click.option("--name", required=True, help="The member that owns the keys.")
def trust(own: str, members: str, name: str) -> None:
    """Put the public parts of a member's own keys into the file of all members, in place of its old ones."""
    try:
        own_public = [key.public_key(name) for key in read_signing_keys(own)]
        others = [key for key in _read_public_keys(members) if key.member != name]
        write_public_keys(members, [*others, *own_public])
    except KeyFileError as error:
        raise _command_error(error) from None
    click.echo(f"{members}: {name} with {len(own_public)} keys")


@command.command("retire")
@MEMBERS
@click.option(
    "--own",
    default=None,
    type=click.Path(dir_okay=False),
    help="Own key file to remove the key from as well.",
)
@click.option("--name", required=True, help="The member.")
@click.option("--id", "key", default=None, help="The key's id; by default all keys of the member.")
def retire(members: str, own: str | None, name: str, key: str | None) -> None:
    """Remove a key of a member, or all of its keys, from the file of all members."""
    try:
        before = _read_public_keys(members)
        after = [
            public for public in before if public.member != name or (key is not None and public.key != key)
        ]
        if len(after) == len(before):
            raise KeyFileError(f"{members}: no such key")
        write_public_keys(members, after)
        if own is not None and key is not None:
            remaining = [own_key for own_key in read_signing_keys(own) if own_key.key_id != key]
            if not remaining:
                raise KeyFileError(f"{own}: {key} is the only key in it")
            write_signing_keys(own, remaining)
    except KeyFileError as error:
        raise _command_error(error) from None
    click.echo(f"{members}: {len(before) - len(after)} retired")


@command.command("list")
@MEMBERS
@click.option("--json", "as_json", is_flag=True, help="Print one JSON array instead of a table.")
def show(members: str, as_json: bool) -> None:
    """List the public keys of all members with their validity."""
    try:
        keys = _read_public_keys(members)
    except KeyFileError as error:
        raise _command_error(error) from None
    now = datetime.now(UTC).timestamp()

    def state(key: PublicKey) -> str:
        return "not yet" if now < key.since else "expired" if now >= key.until else "valid"

    def format_time(unix_s: float) -> str | None:
        if unix_s in (0.0, float("inf")):
            return None
        return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")

    if as_json:
        rows = [
            {"member": key.member, "key": key.key, "state": state(key), "since": format_time(key.since),
             "until": format_time(key.until), "public": base64.b64encode(key.public).decode()}
            for key in keys
        ]  # fmt: skip
        click.echo(orjson.dumps(rows))
        return
    from rich.console import Console
    from rich.table import Table

    table = Table("member", "key", "state", "since", "until")
    for key in keys:
        table.add_row(
            key.member, key.key, state(key), format_time(key.since) or "", format_time(key.until) or ""
        )
    Console().print(table)
