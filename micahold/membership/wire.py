"""Wire format of the gossip protocol: msgpack arrays, in which each statement is signed by its origin.

A statement is a ``Signed``: a member that relays it can forward or withhold it, but cannot alter it. A
datagram is itself a signed statement, of kind PACKET, whose body holds messages and the statements of other
members. Every length and number has a bound here; a value outside its bound raises ``WireError``. Times are
Unix milliseconds by the origin's clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any, TypeVar

import msgspec

MOST_DATAGRAM = 1200  # bytes; small enough for any network path without IP fragmentation
MOST_FRAME = 16 * 1024  # bytes of one frame of an anti-entropy exchange
MOST_ROWS = 16  # engines named in one statement
MOST_ITEMS = 128  # statements in one packet
MOST_MESSAGES = 8  # messages in one packet
DOMAIN = b"micahold gossip 1\0"

Number = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Small = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class WireError(Exception):
    """A datagram, frame or statement cannot be decoded or exceeds a bound."""


class Kind(IntEnum):
    """Kind of a statement. The signature covers it, so a statement cannot pass for one of another kind."""

    PACKET = 0
    RECORD = 1
    ACCUSATION = 2
    TESTIMONY = 3
    DRAINS = 4


class Signed(msgspec.Struct, frozen=True, array_like=True):
    """A statement of member ``origin`` with a 64-byte Ed25519 signature made with its key ``key``."""

    kind: Annotated[int, msgspec.Meta(ge=0, le=4)]
    origin: Name
    key: Name
    body: Annotated[bytes, msgspec.Meta(max_length=MOST_FRAME)]
    signature: Annotated[bytes, msgspec.Meta(min_length=64, max_length=64)]

    def signed_bytes(self) -> bytes:
        """Return the bytes that the signature covers."""
        return signed_bytes(self.kind, self.origin, self.key, self.body)

    def length(self) -> int:
        """Return an upper bound of the encoded size in bytes, at most two bytes above the actual size."""
        return len(self.origin.encode()) + len(self.key.encode()) + len(self.body) + 64 + 12


def signed_bytes(kind: int, origin: str, key: str, body: bytes) -> bytes:
    """Return the bytes that a signature covers.

    Each field is preceded by its length, so that no two different sets of fields give the same bytes.
    """
    fields = (origin.encode(), key.encode(), body)
    return DOMAIN + bytes([kind]) + b"".join(len(field).to_bytes(4, "big") + field for field in fields)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """A member's own address and whether it has left. A higher incarnation replaces a lower one."""

    incarnation: Number
    host: Host
    port: Port
    left: bool = False


class Accusation(msgspec.Struct, frozen=True, array_like=True):
    """The origin suspects ``subject``, because its own probes of that incarnation went unanswered."""

    subject: Name
    incarnation: Number
    at: Number


Row = tuple[Name, Small, Small]  # engine name, number of attempts, number of failed attempts


class Testimony(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of the origin's own attempts within the last ``window`` milliseconds, none from peers."""

    run: Number
    sequence: Number
    at: Number
    window: Small
    rows: Annotated[tuple[Row, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Drains(msgspec.Struct, frozen=True, array_like=True):
    """Engines that the origin's own engine list marks as draining."""

    at: Number
    engines: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A direct probe of the receiver, which answers with an ``Ack`` of the same nonce."""

    nonce: Number


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ``Ping``, or to a ``PingFor`` whose target answered."""

    nonce: Number


class PingFor(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A request for an indirect probe: the receiver probes ``target`` and relays its answer.

    The receiver sends a ``Nack`` if the target does not answer in time.
    """

    nonce: Number
    target: Name


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer to a ``PingFor`` whose target has not answered in time."""

    nonce: Number


class Summary(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The first message of an anti-entropy exchange: one digest for each bucket of the sender's roster."""

    buckets: Annotated[bytes, msgspec.Meta(min_length=512, max_length=512)]


class Entries(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The statements of the same packet are the sender's roster entries of these buckets.

    ``ask`` requests the receiver's entries of the same buckets.
    """

    buckets: Annotated[bytes, msgspec.Meta(max_length=64)]
    ask: bool = False


class View(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request for a member's view of its group; only valid if signed with that member's own key."""


Message = Ping | Ack | PingFor | Nack | Summary | Entries | View


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """Content of one datagram or frame; ``to`` is empty if the receiver's name is not known yet."""

    to: Annotated[str, msgspec.Meta(max_length=64)]
    run: Number
    sequence: Number
    at: Number
    messages: Annotated[tuple[Message, ...], msgspec.Meta(max_length=MOST_MESSAGES)]
    items: Annotated[tuple[Signed, ...], msgspec.Meta(max_length=MOST_ITEMS)]


_T = TypeVar("_T")
_encode = msgspec.msgpack.Encoder().encode
_signed_decoder = msgspec.msgpack.Decoder(Signed)
_body_decoders: dict[Kind, msgspec.msgpack.Decoder[Any]] = {
    Kind.PACKET: msgspec.msgpack.Decoder(Packet),
    Kind.RECORD: msgspec.msgpack.Decoder(Record),
    Kind.ACCUSATION: msgspec.msgpack.Decoder(Accusation),
    Kind.TESTIMONY: msgspec.msgpack.Decoder(Testimony),
    Kind.DRAINS: msgspec.msgpack.Decoder(Drains),
}


def encode(struct: msgspec.Struct) -> bytes:
    """Encode the body of a statement, or a whole ``Signed``."""
    return _encode(struct)


def decode_signed(data: bytes, max_bytes: int = MOST_DATAGRAM) -> Signed:
    """Decode one signed statement, without verifying its signature.

    Raises ``WireError`` for anything but exactly one whole statement of at most ``max_bytes`` bytes.
    """
    if len(data) > max_bytes:
        raise WireError(f"{len(data)} bytes exceed the size limit")
    try:
        return _signed_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None


def decode_body(signed: Signed, body_type: type[_T]) -> _T:
    """Decode the body of a statement as its kind demands.

    Raises ``WireError`` if it cannot be decoded or if its kind is not that of ``body_type``.
    """
    try:
        body = _body_decoders[Kind(signed.kind)].decode(signed.body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None
    if not isinstance(body, body_type):
        raise WireError(f"expected a {body_type.__name__}, got a {type(body).__name__}")
    return body
