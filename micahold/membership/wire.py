"""What members say to each other: msgpack arrays, each statement signed by whom it comes from.

A statement is ``Signed``: a relay can pass it on or withhold it, never alter it. A datagram is a statement
too, of kind PACKET, whose body holds messages and statements of others. Every length and figure has a bound
here; what does not fit is ``WireError``. Times are Unix milliseconds of the origin's clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any, TypeVar

import msgspec

MOST_DATAGRAM = 1200  # bytes; fits any path without fragments
MOST_FRAME = 16 * 1024  # bytes of one frame of a full exchange
MOST_ROWS = 16  # engines in one testimony
MOST_ITEMS, MOST_MESSAGES = 128, 8
DOMAIN = b"micahold gossip 1\0"

Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Small = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class WireError(Exception):
    """A datagram, frame or statement that can't be read."""


class Kind(IntEnum):
    """What a statement is; part of what is signed, so that none passes for another."""

    PACKET = 0
    RECORD = 1
    ACCUSATION = 2
    TESTIMONY = 3
    DRAINS = 4


class Signed(msgspec.Struct, frozen=True, array_like=True):
    """A statement of ``origin``, signed with its key ``key`` (64 bytes of Ed25519)."""

    kind: Annotated[int, msgspec.Meta(ge=0, le=4)]
    origin: Name
    key: Name
    body: Annotated[bytes, msgspec.Meta(max_length=MOST_FRAME)]
    signature: Annotated[bytes, msgspec.Meta(min_length=64, max_length=64)]

    def signed_bytes(self) -> bytes:
        return signed_bytes(self.kind, self.origin, self.key, self.body)

    def length(self) -> int:
        """Bytes on the wire, or one or two more."""
        return len(self.origin.encode()) + len(self.key.encode()) + len(self.body) + 64 + 12


def signed_bytes(kind: int, origin: str, key: str, body: bytes) -> bytes:
    """What a signature covers; lengths keep the fields apart."""
    parts = (origin.encode(), key.encode(), body)
    return DOMAIN + bytes([kind]) + b"".join(len(one).to_bytes(4, "big") + one for one in parts)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A member of itself: where it is. A higher incarnation replaces a lower one."""

    incarnation: Number
    host: Host
    port: Port
    left: bool = False


class Accusation(msgspec.Struct, frozen=True, array_like=True):
    """The origin's own probes of ``subject`` went unanswered."""

    subject: Name
    incarnation: Number
    at: Number


Row = tuple[Name, Small, Small]  # engine, attempts, failures


class Testimony(msgspec.Struct, frozen=True, array_like=True):
    """First-hand only: what the origin's own attempts met within the last ``window`` milliseconds."""

    run: Number
    sequence: Number
    at: Number
    window: Small
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Drains(msgspec.Struct, frozen=True, array_like=True):
    """Engines that drain by the origin's own engine list."""

    at: Number
    engines: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    nonce: Number


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    nonce: Number


class PingFor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Probe ``target`` for me; a Nack where it does not answer in time."""

    nonce: Number
    target: Name


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    nonce: Number


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A full exchange begins: one digest a bucket of the sender's roster."""

    buckets: Annotated[bytes, msgspec.Meta(min_length=512, max_length=512)]


class Entries(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The statements beside it are the sender's entries of these buckets; ``ask`` wants the receiver's."""

    buckets: Annotated[bytes, msgspec.Meta(max_length=64)]
    ask: bool = False


class View(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asked of a member by who holds its own key: what does it know of its group?"""


Message = Ping | Ack | PingFor | Nack | Summary | Entries | View


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram or frame: ``to`` is empty where the receiver's name is not yet known."""

    to: Annotated[str, msgspec.Meta(max_length=64)]
    run: Number
    sequence: Number
    at: Number
    messages: Annotated[tuple[Message, ...], msgspec.Meta(max_length=MOST_MESSAGES)]
    items: Annotated[tuple[Signed, ...], msgspec.Meta(max_length=MOST_ITEMS)]


_T = TypeVar("_T")
_encode = msgspec.msgpack.Encoder().encode
_signed = msgspec.msgpack.Decoder(Signed)
_bodies: dict[Kind, msgspec.msgpack.Decoder[Any]] = {
    Kind.PACKET: msgspec.msgpack.Decoder(Packet),
    Kind.RECORD: msgspec.msgpack.Decoder(Record),
    Kind.ACCUSATION: msgspec.msgpack.Decoder(Accusation),
    Kind.TESTIMONY: msgspec.msgpack.Decoder(Testimony),
    Kind.DRAINS: msgspec.msgpack.Decoder(Drains),
}


def encode(item: msgspec.Struct) -> bytes:
    """Bytes of a statement's body, or of a whole ``Signed``."""
    return _encode(item)


def decode_signed(data: bytes, most: int = MOST_DATAGRAM) -> Signed:
    """``WireError`` for anything but one whole statement of at most ``most`` bytes."""
    if len(data) > most:
        raise WireError(f"{len(data)} bytes")
    try:
        return _signed.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise WireError(str(problem)) from None


def decode_body(signed: Signed, kind: type[_T]) -> _T:
    """The body of a statement whose kind says it is a ``kind``; ``WireError`` otherwise."""
    try:
        body = _bodies[Kind(signed.kind)].decode(signed.body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as problem:
        raise WireError(str(problem)) from None
    if not isinstance(body, kind):
        raise WireError(f"a {type(body).__name__} where a {kind.__name__} belongs")
    return body
