"""Wire format of the gossip protocol: msgpack arrays, in which each statement is signed by its origin.

A statement is a ``SignedStatement``: a member that relays it can forward or withhold it, but cannot alter
it. A datagram is itself a signed statement, of kind PACKET, whose body holds messages and the statements of
other members. Every length and number has a bound here; a value outside its bound raises ``WireError``. Times
are Unix milliseconds by the origin's clock.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated, Any, TypeVar

import msgspec

MAX_DATAGRAM_BYTES = 1200  # small enough for any network path without IP fragmentation
MAX_FRAME_BYTES = 16 * 1024  # of one frame of an anti-entropy exchange
MAX_ENGINES_PER_STATEMENT = 16
MAX_STATEMENTS_PER_PACKET = 128
MAX_MESSAGES_PER_PACKET = 8
SIGNING_DOMAIN = b"micahold gossip 1\0"

UnsignedInteger = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
BoundedInteger = Annotated[int, msgspec.Meta(ge=0, le=10**6)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Host = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]


class WireError(Exception):
    """A datagram, frame or statement cannot be decoded or exceeds a bound."""


class StatementKind(IntEnum):
    """Kind of a statement. The signature covers it, so a statement cannot pass for one of another kind."""

    PACKET = 0
    MEMBER_RECORD = 1
    SUSPICION_REPORT = 2
    FAILURE_REPORT = 3
    DRAIN_REPORT = 4


class SignedStatement(msgspec.Struct, frozen=True, array_like=True):
    """A statement of member ``origin`` with a 64-byte Ed25519 signature made with its key ``key_id``."""

    kind: Annotated[int, msgspec.Meta(ge=0, le=4)]
    origin: Name
    key_id: Name
    body: Annotated[bytes, msgspec.Meta(max_length=MAX_FRAME_BYTES)]
    signature: Annotated[bytes, msgspec.Meta(min_length=64, max_length=64)]

    def signed_bytes(self) -> bytes:
        """Return the bytes that the signature covers."""
        return signed_bytes(self.kind, self.origin, self.key_id, self.body)

    def size_bound(self) -> int:
        """Return an upper bound of the encoded size in bytes, at most two bytes above the actual size."""
        return len(self.origin.encode()) + len(self.key_id.encode()) + len(self.body) + 64 + 12


def signed_bytes(kind: int, origin: str, key_id: str, body: bytes) -> bytes:
    """Return the bytes that a signature covers.

    Each field is preceded by its length, so that no two different sets of fields give the same bytes.
    """
    fields = (origin.encode(), key_id.encode(), body)
    return (
        SIGNING_DOMAIN + bytes([kind]) + b"".join(len(field).to_bytes(4, "big") + field for field in fields)
    )


class MemberRecord(msgspec.Struct, frozen=True, array_like=True):
    """A member's own address and whether it has left. A higher incarnation replaces a lower one."""

    incarnation: UnsignedInteger
    host: Host
    port: Port
    left: bool = False


class SuspicionReport(msgspec.Struct, frozen=True, array_like=True):
    """The origin suspects ``subject``, because its own probes of that incarnation went unanswered."""

    subject: Name
    incarnation: UnsignedInteger
    at_ms: UnsignedInteger


# Engine name, number of attempts, number of failed attempts.
AttemptCounts = tuple[Name, BoundedInteger, BoundedInteger]


class FailureReport(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes of the origin's own attempts within the last ``window_ms`` milliseconds, none from peers."""

    run: UnsignedInteger
    sequence: UnsignedInteger
    at_ms: UnsignedInteger
    window_ms: BoundedInteger
    rows: Annotated[tuple[AttemptCounts, ...], msgspec.Meta(max_length=MAX_ENGINES_PER_STATEMENT)]


class DrainReport(msgspec.Struct, frozen=True, array_like=True):
    """Engines that the origin's own engine list marks as draining."""

    at_ms: UnsignedInteger
    engines: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_ENGINES_PER_STATEMENT)]


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """A direct probe of the receiver, which answers with an ``Ack`` of the same nonce."""

    nonce: UnsignedInteger


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The answer to a ``Ping``, or to a ``PingRequest`` whose target answered."""

    nonce: UnsignedInteger


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A request for an indirect probe: the receiver probes ``target`` and relays its answer.

    The receiver sends a ``Nack`` if the target does not answer in time.
    """

    nonce: UnsignedInteger
    target: Name


class Nack(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The answer to a ``PingRequest`` whose target has not answered in time."""

    nonce: UnsignedInteger


class BucketDigests(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """The first message of an anti-entropy exchange: one digest for each bucket of the sender's roster."""

    digests: Annotated[bytes, msgspec.Meta(min_length=512, max_length=512)]


class BucketEntries(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """The statements of the same packet are the sender's roster entries of these buckets.

    ``reply_requested`` requests the receiver's entries of the same buckets.
    """

    buckets: Annotated[bytes, msgspec.Meta(max_length=64)]
    reply_requested: bool = False


class ViewRequest(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """A request for a member's view of its group; only valid if signed with that member's own key."""


Message = Ping | Ack | PingRequest | Nack | BucketDigests | BucketEntries | ViewRequest


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """Content of one datagram or frame; ``recipient`` is empty if the receiver's name is not known yet."""

    recipient: Annotated[str, msgspec.Meta(max_length=64)]
    run: UnsignedInteger
    sequence: UnsignedInteger
    at_ms: UnsignedInteger
    messages: Annotated[tuple[Message, ...], msgspec.Meta(max_length=MAX_MESSAGES_PER_PACKET)]
    statements: Annotated[tuple[SignedStatement, ...], msgspec.Meta(max_length=MAX_STATEMENTS_PER_PACKET)]


_T = TypeVar("_T")
_encode = msgspec.msgpack.Encoder().encode
_signed_decoder = msgspec.msgpack.Decoder(SignedStatement)
_body_decoders: dict[StatementKind, msgspec.msgpack.Decoder[Any]] = {
    StatementKind.PACKET: msgspec.msgpack.Decoder(Packet),
    StatementKind.MEMBER_RECORD: msgspec.msgpack.Decoder(MemberRecord),
    StatementKind.SUSPICION_REPORT: msgspec.msgpack.Decoder(SuspicionReport),
    StatementKind.FAILURE_REPORT: msgspec.msgpack.Decoder(FailureReport),
    StatementKind.DRAIN_REPORT: msgspec.msgpack.Decoder(DrainReport),
}


def encode(struct: msgspec.Struct) -> bytes:
    """Encode the body of a statement, or a whole ``SignedStatement``."""
    return _encode(struct)


def decode_signed(data: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> SignedStatement:
    """Decode one signed statement, without verifying its signature.

    Raises ``WireError`` for anything but exactly one whole statement of at most ``max_bytes`` bytes.
    """
    if len(data) > max_bytes:
        raise WireError(f"{len(data)} bytes exceed the size limit")
    try:
        return _signed_decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None


def decode_body(signed: SignedStatement, body_type: type[_T]) -> _T:
    """Decode the body of a statement as its kind demands.

    Raises ``WireError`` if it cannot be decoded or if its kind is not that of ``body_type``.
    """
    try:
        body = _body_decoders[StatementKind(signed.kind)].decode(signed.body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError(str(error)) from None
    if not isinstance(body, body_type):
        raise WireError(f"expected a {body_type.__name__}, got a {type(body).__name__}")
    return body
