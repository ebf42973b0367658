"""The number of gateways, in two figures that must not be mixed.

``upper_bound`` divides what a rule allows (the allowance of a cold engine). It must never be too low, so only
a graceful leave or the operator's setting lowers it, and a death does not: in a partition, neither side
raises its own part by counting the other side as dead. ``live`` divides what only affects efficiency (the
even part of an engine's threads), and follows which gateways respond.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from micahold.membership.member_list import Status


@dataclass(slots=True, frozen=True)
class GatewayCount:
    """Numbers of gateways, this one included."""

    upper_bound: int
    live: int


def count_gateways(
    configured: int, members: Iterable[tuple[str, Status]], removed_names: Iterable[str]
) -> GatewayCount:
    """Count the gateways.

    ``configured`` is their number in the platform's settings, ``members`` are all other members ever seen
    with their status, and ``removed_names`` are the gateways that the operator has declared removed.
    Configured gateways that were never seen as members count in both figures: they may be running without
    gossip.
    """
    removed = set(removed_names)
    statuses = dict(members)
    remaining = {name: status for name, status in statuses.items() if name not in removed}
    known = 1 + len(statuses)
    unseen = max(0, configured - known - len(removed - statuses.keys()))
    present = [status for status in remaining.values() if status is not Status.LEFT]
    live = [status for status in present if status is not Status.DEAD]
    return GatewayCount(1 + len(present) + unseen, 1 + len(live) + unseen)
