"""What the operator's own file may hold: one struct a section, with units, defaults and meaning.

The reference in ``docs/operators/settings.md`` and the example in ``deploy/operator.example.sexp`` are held
against these structs by tests. ``in_service`` names the settings that SIGHUP takes over.
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


def _is(meaning: str, in_service: bool = False) -> Any:
    """Documentation of a setting, for the generated reference."""
    return msgspec.Meta(description=meaning, extra={"in_service": in_service})


class GossipSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Instances find each other and share what they saw of engines; off where this section is missing."""

    listen: Annotated[Address, _is("where datagrams (UDP) and full exchanges (TCP) of other members arrive")]
    keys: Annotated[FileName, _is("this member's own keys, made by `micahold keys make`", True)]
    members: Annotated[FileName, _is("the public keys of all members, by name", True)]
    name: Annotated[Name | None, _is("this member's name; the platform's name for the front if missing")] = (
        None
    )
    advertise: Annotated[Address | None, _is("where others reach this member; `listen` if missing")] = None
    seeds: Annotated[tuple[Address, ...], _is("members asked first; any one that lives is enough", True)] = ()
    rate: Annotated[ByteRate, _is("most bytes sent in any second", True)] = 16 * 1024
    rate_in: Annotated[ByteRate, _is("most bytes taken in any second; the rest is dropped unread", True)] = (
        64 * 1024
    )
    period: Annotated[Duration, _is("one probe of one member is begun so often")] = 1.0
    probe_timeout: Annotated[Duration, _is("a probe unanswered for so long is tried through others")] = 0.4
    clock_error: Annotated[Duration, _is("clocks of members may be so far apart")] = 30.0
    gone: Annotated[tuple[Name, ...], _is("members that are counted as gone by your word", True)] = ()
    hearsay: Annotated[bool, _is("hand what members saw of engines to the decisions", True)] = True

    def __post_init__(self) -> None:
        if self.probe_timeout >= self.period:
            raise ValueError("probe_timeout must be shorter than period")
        if self.rate < 4096:
            raise ValueError("rate must be 4KiB/s or more: probes alone need that")


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The whole file."""

    gossip: GossipSettings | None = None
