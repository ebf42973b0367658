"""Ed25519 keys of the gossip members: key files, signing and signature verification with ``cryptography``.

Keys are kept in two files of S-expressions. A member's own file (mode 0600) holds one list for each of its
keys, ``(key ID "SEED" (since TIME) (until TIME))``; of the valid keys, the one with the latest ``since``
signs. The members' file holds the public keys of all members: ``(member NAME (key ID "PUBLIC" (since ..)
(until ..)))``. Times are in ISO 8601 with an offset; keys are 32 bytes in base64.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import sexpdata
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey
from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat, PublicFormat

from micahold.membership.durable_file import replace_file
from micahold.membership.keyring import Keyring, PublicKey
from micahold.protocol.s_expressions import SExpressionError, parse_s_expressions

MAX_KEY_FILE_BYTES = 1 << 20  # size of a key file
MAX_CACHED_KEYS = 8192  # parsed public keys that are cached


class KeyFileError(Exception):
    """A key file cannot be used; the text is one line that names the file."""


@dataclass(slots=True, frozen=True)
class SigningKey:
    """One of this member's own keys; ``seed`` is secret and left out of the representation.

    The key is valid from ``since`` until before ``until``, in Unix seconds.
    """

    key_id: str
    seed: bytes
    since: float = 0.0
    until: float = float("inf")

    def __repr__(self) -> str:
        return f"SigningKey({self.key_id!r})"

    def private_key(self) -> Ed25519PrivateKey:
        """Return the private key that the seed defines."""
        return Ed25519PrivateKey.from_private_bytes(self.seed)

    def public_key(self, member: str) -> PublicKey:
        """Return the public key of this pair, bound to the name ``member``."""
        raw = self.private_key().public_key().public_bytes(Encoding.Raw, PublicFormat.Raw)
        return PublicKey(member, self.key_id, raw, self.since, self.until)


def generate_key(key_id: str, since: float = 0.0, until: float = float("inf")) -> SigningKey:
    """Generate a key from the operating system's random number generator."""
    seed = Ed25519PrivateKey.generate().private_bytes(Encoding.Raw, PrivateFormat.Raw, NoEncryption())
    return SigningKey(key_id, seed, since, until)


class Ed25519Signer:
    """A ``Signer`` that signs with the valid key of the latest ``since``.

    If no key is valid at the time, the key of the latest ``since`` signs. The constructor raises
    ``KeyFileError`` if there are no keys.
    """

    def __init__(self, keys: Iterable[SigningKey]) -> None:
        self.keys = sorted(keys, key=lambda signing_key: (signing_key.since, signing_key.key_id))
        if not self.keys:
            raise KeyFileError("the member has no key of its own")
        self._private_keys = {signing_key.key_id: signing_key.private_key() for signing_key in self.keys}

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        """Return the id of the signing key and the signature, which is empty for empty ``data``."""
        valid = [signing_key for signing_key in self.keys if signing_key.since <= now < signing_key.until]
        key_id = (valid or self.keys)[-1].key_id
        return key_id, self._private_keys[key_id].sign(data) if data else b""


class Ed25519Verifier:
    """A ``Verifier`` that caches parsed public keys."""

    def __init__(self) -> None:
        self._parsed_keys: dict[bytes, Ed25519PublicKey] = {}

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool:
        """Return whether ``signature`` of ``data`` was made with the private key of ``public``."""
        key = self._parsed_keys.get(public)
        if key is None:
            if len(self._parsed_keys) >= MAX_CACHED_KEYS:
                self._parsed_keys.clear()
            key = self._parsed_keys[public] = Ed25519PublicKey.from_public_bytes(public)
        try:
            key.verify(signature, data)
        except InvalidSignature:
            return False
        return True


# Key files


def _read_expressions(path: str) -> list[Any]:
    """Return the S-expressions of a file; raise ``KeyFileError`` if it cannot be read or parsed."""
    try:
        data = Path(path).read_bytes()
        if len(data) > MAX_KEY_FILE_BYTES:
            raise KeyFileError(f"{path}: more than {MAX_KEY_FILE_BYTES} bytes")
        expressions = parse_s_expressions(data.decode())
    except OSError as error:
        raise KeyFileError(f"{path}: cannot be read: {error.strerror}") from None
    except (UnicodeDecodeError, SExpressionError):
        raise KeyFileError(f"{path}: cannot be parsed as S-expressions") from None
    return expressions


def _atom_text(atom: Any) -> str:
    return atom.value() if isinstance(atom, sexpdata.Symbol) else str(atom)


def _parse_time(text: str) -> float:
    """Return Unix seconds of an ISO 8601 time; raise ``ValueError`` without an offset."""
    time = datetime.fromisoformat(text)
    if time.tzinfo is None:
        raise ValueError("a time needs a UTC offset, such as 2027-01-01T00:00:00+00:00")
    return time.timestamp()


def _parse_key(expression: Any, location: str) -> tuple[str, bytes, float, float]:
    """Return the key's id, its 32 bytes, ``since`` and ``until``; ``location`` begins the error text."""
    try:
        head, key_id, encoded_key, *validity = expression
        if _atom_text(head) != "key":
            raise ValueError('expected a list that begins with "key"')
        raw_key = base64.b64decode(_atom_text(encoded_key), validate=True)
        if len(raw_key) != 32:
            raise ValueError("expected 32 bytes in base64")
        times = {"since": 0.0, "until": float("inf")}
        for bound_name, bound_time in validity:
            if _atom_text(bound_name) not in times:
                raise ValueError(f"unknown word {_atom_text(bound_name)}")
            times[_atom_text(bound_name)] = _parse_time(_atom_text(bound_time))
        if times["since"] >= times["until"]:
            raise ValueError("until is not after since")
        return _atom_text(key_id), raw_key, times["since"], times["until"]
    except (TypeError, ValueError, binascii.Error) as error:
        raise KeyFileError(f"{location}: bad key: {error}") from None


def read_signing_keys(path: str) -> list[SigningKey]:
    """Read this member's own keys, in the order of the file; raise ``KeyFileError`` if it cannot be used."""
    signing_keys = [
        SigningKey(*_parse_key(expression, f"{path}: entry {index + 1}"))
        for index, expression in enumerate(_read_expressions(path))
    ]
    if not signing_keys:
        raise KeyFileError(f"{path}: holds no key")
    if len({signing_key.key_id for signing_key in signing_keys}) < len(signing_keys):
        raise KeyFileError(f"{path}: holds a key id twice")
    return signing_keys


def read_keyring(path: str) -> Keyring:
    """Read the public keys of all members; raise ``KeyFileError`` if the file cannot be used."""
    public_keys: list[PublicKey] = []
    for index, expression in enumerate(_read_expressions(path)):
        location = f"{path}: entry {index + 1}"
        if not isinstance(expression, list) or len(expression) < 2 or _atom_text(expression[0]) != "member":
            raise KeyFileError(f"{location}: expected a (member NAME (key ...)) list")
        name = _atom_text(expression[1])
        if not 0 < len(name) <= 64:
            raise KeyFileError(f"{location}: a member's name must have 1 to 64 characters")
        for key_id, raw_key, since, until in (
            _parse_key(key_expression, f"{location} ({name})") for key_expression in expression[2:]
        ):
            try:
                Ed25519PublicKey.from_public_bytes(raw_key)
            except ValueError:
                raise KeyFileError(f"{location} ({name}): key {key_id} is not an Ed25519 key") from None
            public_keys.append(PublicKey(name, key_id, raw_key, since, until))
    try:
        return Keyring(public_keys, Ed25519Verifier())
    except ValueError as error:
        raise KeyFileError(f"{path}: {error}") from None


def _format_time(unix_s: float) -> str:
    return datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="seconds")


def _format_key(key_id: str, raw_key: bytes, since: float, until: float) -> str:
    text = f'(key {key_id} "{base64.b64encode(raw_key).decode()}"'
    text += f' (since "{_format_time(since)}")' if since > 0 else ""
    text += f' (until "{_format_time(until)}")' if until < float("inf") else ""
    return text + ")"


def _write_key_file(path: str, text: str, mode: int) -> None:
    """Replaces a key file; raises ``KeyFileError`` where it can't be written, and then the old one stays."""
    try:
        replace_file(path, text.encode(), mode)
    except OSError as error:
        raise KeyFileError(f"{path}: cannot be written: {error.strerror}") from None


def write_signing_keys(path: str, keys: Iterable[SigningKey]) -> None:
    """Write a member's own keys to a file that only its owner can read."""
    lines = [
        _format_key(signing_key.key_id, signing_key.seed, signing_key.since, signing_key.until)
        for signing_key in keys
    ]
    _write_key_file(path, "; secret: this member's own keys\n" + "\n".join(lines) + "\n", 0o600)


def write_public_keys(path: str, keys: Iterable[PublicKey]) -> None:
    """Write the public keys of all members, sorted by member name."""
    keys_by_member: dict[str, list[PublicKey]] = {}
    for public_key in keys:
        keys_by_member.setdefault(public_key.member, []).append(public_key)
    lines = ["; public keys of all members of the group"]
    for name in sorted(keys_by_member):
        formatted = [
            _format_key(public_key.key, public_key.public, public_key.since, public_key.until)
            for public_key in keys_by_member[name]
        ]
        lines.append(f"(member {name}\n  " + "\n  ".join(formatted) + ")")
    _write_key_file(path, "\n".join(lines) + "\n", 0o644)
