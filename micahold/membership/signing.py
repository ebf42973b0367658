"""Ed25519 keys: files, signatures and checks, with ``cryptography``.

Two files of S-expressions. A member's own (mode 0600): ``(key ID "SEED" (since TIME) (until TIME))``, one
list a key; the one begun last that is valid signs. The members' file: ``(member NAME (key ID "PUBLIC" (since
..) (until ..)))``. Times are ISO 8601 with offset; keys are base64 of 32 bytes.
"""

from __future__ import annotations

import base64
import binascii
import os
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import sexpdata
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat, PublicFormat

from micahold.membership.keyring import Keyring, PublicKey

MOST_BYTES = 1 << 20
MOST_PUBLIC = 8192
SEXP_ERRORS = (sexpdata.ExpectNothing, sexpdata.ExpectSExp, sexpdata.ExpectClosingBracket)


class KeyFileError(Exception):
    """A key file that can't be read; one line of text that names the file."""


@dataclass(slots=True, frozen=True)
class OwnKey:
    """One of this member's own keys; ``seed`` is secret."""

    key: str
    seed: bytes
    since: float = 0.0
    until: float = float("inf")

    def __repr__(self) -> str:
        return f"OwnKey({self.key!r})"

    def private(self) -> Ed25519PrivateKey:
        return Ed25519PrivateKey.from_private_bytes(self.seed)

    def public(self, member: str) -> PublicKey:
        raw = self.private().public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)
        return PublicKey(member, self.key, raw, self.since, self.until)


def make_key(key: str, since: float = 0.0, until: float = float("inf")) -> OwnKey:
    """A new key from the system's random numbers."""
    raw = Ed25519PrivateKey.generate().private_bytes(Encoding.Raw, PrivateFormat.Raw, NoEncryption())
    return OwnKey(key, raw, since, until)


class Hand:
    """A ``Signer``: the valid key that was begun last signs; without a valid one, the last that was."""

    def __init__(self, keys: Iterable[OwnKey]) -> None:
        self.keys = sorted(keys, key=lambda one: (one.since, one.key))
        if not self.keys:
            raise KeyFileError("no key of its own")
        self._private = {one.key: one.private() for one in self.keys}

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        valid = [one for one in self.keys if one.since <= now < one.until]
        key = (valid or self.keys)[-1].key
        return key, self._private[key].sign(data) if data else b""


class Ed25519Verifier:
    """A ``Verifier``; public keys are read once."""

    def __init__(self) -> None:
        self._keys: dict[bytes, Ed25519PublicKey] = {}

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool:
        key = self._keys.get(public)
        if key is None:
            if len(self._keys) >= MOST_PUBLIC:
                self._keys.clear()
            key = self._keys[public] = Ed25519PublicKey.from_public_bytes(public)
        try:
            key.verify(signature, data)
        except InvalidSignature:
            return False
        return True


# Files


def _read(path: str) -> list[Any]:
    try:
        data = Path(path).read_bytes()
        if len(data) > MOST_BYTES:
            raise KeyFileError(f"{path}: more than {MOST_BYTES} bytes")
        items: list[Any] = sexpdata.parse(data.decode())
    except OSError as problem:
        raise KeyFileError(f"{path}: cannot be read: {problem.strerror}") from None
    except (ValueError, AssertionError, IndexError, *SEXP_ERRORS):
        raise KeyFileError(f"{path}: no S-expressions") from None
    return items


def _word(item: Any) -> str:
    return item.value() if isinstance(item, sexpdata.Symbol) else str(item)


def _time(text: str) -> float:
    moment = datetime.fromisoformat(text)
    if moment.tzinfo is None:
        raise ValueError("a time needs its offset, such as 2027-01-01T00:00:00+00:00")
    return moment.timestamp()


def _key(item: Any, where: str) -> tuple[str, bytes, float, float]:
    """Id, 32 bytes, since, until."""
    try:
        head, name, secret, *more = item
        if _word(head) != "key":
            raise ValueError('a list that begins with "key"')
        raw = base64.b64decode(_word(secret), validate=True)
        if len(raw) != 32:
            raise ValueError("32 bytes in base64")
        times = {"since": 0.0, "until": float("inf")}
        for which, text in more:
            if _word(which) not in times:
                raise ValueError(f"unknown word {_word(which)}")
            times[_word(which)] = _time(_word(text))
        if times["since"] >= times["until"]:
            raise ValueError("until is not after since")
        return _word(name), raw, times["since"], times["until"]
    except (TypeError, ValueError, binascii.Error) as problem:
        raise KeyFileError(f"{where}: bad key: {problem}") from None


def read_own(path: str) -> list[OwnKey]:
    """This member's own keys, oldest first."""
    keys = [OwnKey(*_key(item, f"{path}: entry {at + 1}")) for at, item in enumerate(_read(path))]
    if not keys:
        raise KeyFileError(f"{path}: holds no key")
    if len({one.key for one in keys}) < len(keys):
        raise KeyFileError(f"{path}: a key id stands in it twice")
    return keys


def read_members(path: str) -> Keyring:
    """The public keys of all members."""
    found: list[PublicKey] = []
    for at, item in enumerate(_read(path)):
        where = f"{path}: entry {at + 1}"
        if not isinstance(item, list) or len(item) < 2 or _word(item[0]) != "member":
            raise KeyFileError(f"{where}: no (member NAME (key ...)) list")
        name = _word(item[1])
        if not 0 < len(name) <= 64:
            raise KeyFileError(f"{where}: a name has 1 to 64 characters")
        for key, public, since, until in (_key(one, f"{where} ({name})") for one in item[2:]):
            try:
                Ed25519PublicKey.from_public_bytes(public)
            except ValueError:
                raise KeyFileError(f"{where} ({name}): key {key} is no Ed25519 key") from None
            found.append(PublicKey(name, key, public, since, until))
    try:
        return Keyring(found, Ed25519Verifier())
    except ValueError as problem:
        raise KeyFileError(f"{path}: {problem}") from None


def _moment(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="seconds")


def _show(key: str, raw: bytes, since: float, until: float) -> str:
    text = f'(key {key} "{base64.b64encode(raw).decode()}"'
    text += f' (since "{_moment(since)}")' if since > 0 else ""
    text += f' (until "{_moment(until)}")' if until < float("inf") else ""
    return text + ")"


def _write(path: str, text: str, mode: int) -> None:
    """Whole or not at all: a reader never meets half a file, and a secret is never readable by others."""
    beside = f"{path}.new"
    descriptor = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    with os.fdopen(descriptor, "w") as out:
        out.write(text)
        out.flush()
        os.fsync(out.fileno())
    os.replace(beside, path)


def write_own(path: str, keys: Iterable[OwnKey]) -> None:
    lines = [_show(one.key, one.seed, one.since, one.until) for one in keys]
    _write(path, "; secret: this member's own keys\n" + "\n".join(lines) + "\n", 0o600)


def write_members(path: str, keys: Iterable[PublicKey]) -> None:
    by_name: dict[str, list[PublicKey]] = {}
    for one in keys:
        by_name.setdefault(one.member, []).append(one)
    lines = ["; public keys of all members of the group"]
    for name in sorted(by_name):
        shown = [_show(one.key, one.public, one.since, one.until) for one in by_name[name]]
        lines.append(f"(member {name}\n  " + "\n  ".join(shown) + ")")
    _write(path, "\n".join(lines) + "\n", 0o644)
