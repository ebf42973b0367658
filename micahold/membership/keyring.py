"""Which keys of which member are valid, and when; the cryptography itself is in ``signing``.

A member may have several keys valid at once, so that one can be added, used and then retired without a gap.
Names are bound to keys here, so a member cannot sign for another, and there are no members beyond those
listed: that bounds the group, its memory, and the identities that a lying member can use.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

MAX_KEYS_PER_MEMBER = 8  # bounds memory


@dataclass(slots=True, frozen=True)
class PublicKey:
    """One key of one member, valid from ``since`` until ``until`` in Unix seconds, infinity for no end."""

    member: str
    key: str
    public: bytes
    since: float = 0.0
    until: float = float("inf")


class Signer(Protocol):
    """Signs with this member's own keys."""

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        """Id of the key used, and a signature of 64 bytes."""
        ...


class Verifier(Protocol):
    """Verifies a signature against a public key."""

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool:
        """Whether this signature of ``data`` was made with the key of which ``public`` is the public part."""
        ...


class Keyring:
    """The public keys of all members; pure except for ``verifier``.

    ``ValueError`` for a key id given twice and for too many keys of a member.
    """

    def __init__(self, keys: Iterable[PublicKey], verifier: Verifier) -> None:
        self.verifier = verifier
        self.keys: dict[str, dict[str, PublicKey]] = {}
        for public_key in keys:
            member_keys = self.keys.setdefault(public_key.member, {})
            if public_key.key in member_keys:
                raise ValueError(f"member {public_key.member} has key {public_key.key} twice")
            member_keys[public_key.key] = public_key
            if len(member_keys) > MAX_KEYS_PER_MEMBER:
                raise ValueError(f"member {public_key.member} has more than {MAX_KEYS_PER_MEMBER} keys")

    @property
    def member_names(self) -> set[str]:
        """Names of all members that have keys."""
        return set(self.keys)

    def key_rejection(self, now: float, member: str, key: str) -> str | None:
        """None where this key of this member is valid now, else the reason why it is not."""
        member_keys = self.keys.get(member)
        if member_keys is None:
            return "unknown_member"
        public_key = member_keys.get(key)
        if public_key is None:
            return "unknown_key"
        if now < public_key.since:
            return "key_not_yet"
        return "key_expired" if now >= public_key.until else None

    def signature_rejection(
        self, now: float, member: str, key: str, data: bytes, signature: bytes
    ) -> str | None:
        """None where the signature is valid, else the reason for its rejection."""
        if (reason := self.key_rejection(now, member, key)) is not None:
            return reason
        valid = self.verifier.verify(self.keys[member][key].public, data, signature)
        return None if valid else "bad_signature"
