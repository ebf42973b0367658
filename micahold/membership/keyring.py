"""Which keys of which member count, and when; the cryptography itself is in ``signing``.

A member may have several keys valid side by side, so that one can be added, used and then retired without a
gap. Names are bound to keys here, so nobody can speak for another, and no names beyond these exist: that
bounds the group, its memory, and what a liar can pretend to be.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

MAX_KEYS_PER_MEMBER = 8


@dataclass(slots=True, frozen=True)
class PublicKey:
    """One key of one member; times are Unix seconds, ``until`` infinity where it has no end."""

    member: str
    key: str
    public: bytes
    since: float = 0.0
    until: float = float("inf")


class Signer(Protocol):
    """This member's own hand."""

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        """The id of the key used and 64 bytes of signature."""
        ...


class Verifier(Protocol):
    """Checks one signature against one public key."""

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool: ...


class Keyring:
    """The public keys of all members; pure but for ``verifier``."""

    def __init__(self, keys: Iterable[PublicKey], verifier: Verifier) -> None:
        self.verifier = verifier
        self.keys: dict[str, dict[str, PublicKey]] = {}
        for one in keys:
            own = self.keys.setdefault(one.member, {})
            if one.key in own:
                raise ValueError(f"member {one.member} has key {one.key} twice")
            own[one.key] = one
            if len(own) > MAX_KEYS_PER_MEMBER:
                raise ValueError(f"member {one.member} has more than {MAX_KEYS_PER_MEMBER} keys")

    @property
    def member_names(self) -> set[str]:
        return set(self.keys)

    def key_rejection(self, now: float, member: str, key: str) -> str | None:
        """None where that key of that member counts now."""
        own = self.keys.get(member)
        if own is None:
            return "unknown_member"
        found = own.get(key)
        if found is None:
            return "unknown_key"
        if now < found.since:
            return "key_not_yet"
        return "key_expired" if now >= found.until else None

    def signature_rejection(
        self, now: float, member: str, key: str, data: bytes, signature: bytes
    ) -> str | None:
        """None where the signature is good, else why not."""
        if (why := self.key_rejection(now, member, key)) is not None:
            return why
        good = self.verifier.verify(self.keys[member][key].public, data, signature)
        return None if good else "bad_signature"
