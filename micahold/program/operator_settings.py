"""The settings of the operator's own file: one struct per section, with units, defaults and descriptions.

Tests compare the reference in ``docs/operators/settings.md`` and the example in
``deploy/operator.example.sexp`` with these structs. ``in_service`` marks the settings that SIGHUP applies.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

Duration = Annotated[float, msgspec.Meta(gt=0, extra={"unit": "duration"})]
Size = Annotated[int, msgspec.Meta(gt=0, extra={"unit": "size"})]
ByteRate = Annotated[int, msgspec.Meta(gt=0, extra={"unit": "byte_rate"})]
Address = Annotated[tuple[str, int], msgspec.Meta(extra={"unit": "address"})]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")]
FileName = Annotated[str, msgspec.Meta(min_length=1, extra={"unit": "file"})]


def _described(description: str, in_service: bool = False) -> Any:
    """The description of a setting for the generated reference, and whether SIGHUP applies the setting."""
    return msgspec.Meta(description=description, extra={"in_service": in_service})


class GossipSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Group membership of fronts by gossip, with peer reports about engines; off without this section."""

    listen: Annotated[
        Address, _described("address for datagrams (UDP) and full state exchanges (TCP) of other members")
    ]
    keys: Annotated[
        FileName, _described("file of this member's private keys, made by `micahold keys make`", True)
    ]
    members: Annotated[FileName, _described("file of the public keys of all members, by name", True)]
    name: Annotated[
        Name | None, _described("this member's name; by default the platform's name for the front")
    ] = None
    advertise: Annotated[
        Address | None, _described("address at which other members reach this member; by default `listen`")
    ] = None
    seeds: Annotated[
        tuple[Address, ...],
        _described("addresses of the members that are contacted first; one alive member is enough", True),
    ] = ()
    rate: Annotated[ByteRate, _described("limit on bytes sent in any second", True)] = 16 * 1024
    rate_in: Annotated[
        ByteRate, _described("limit on bytes received in any second; the excess is dropped unread", True)
    ] = 64 * 1024
    period: Annotated[Duration, _described("interval between probes, each of one member")] = 1.0
    probe_timeout: Annotated[
        Duration, _described("time without an answer after which a probe is repeated through other members")
    ] = 0.4
    clock_error: Annotated[
        Duration, _described("largest accepted difference between the clocks of members")
    ] = 30.0
    gone: Annotated[
        tuple[Name, ...],
        _described("members declared gone by the operator; the count of gateways leaves them out", True),
    ] = ()
    hearsay: Annotated[bool, _described("pass peer reports about engines to the controller", True)] = True

    def __post_init__(self) -> None:
        if self.probe_timeout >= self.period:
            raise ValueError("probe_timeout must be shorter than period")
        if self.rate < 4096:
            raise ValueError("rate must be 4KiB/s or more: probes alone need that")


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """All sections of the file."""

    gossip: GossipSettings | None = None
