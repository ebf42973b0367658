"""How many gateways there are, for two uses that must not be mixed.

``upper_bound`` divides what a rule allows (a cold engine's allowance): it must never be too low, so only
a graceful leave or an operator's word lowers it, never a death: in a partition no side raises its part by
counting the other dead. ``live`` divides what is only efficiency (the even part of an engine's threads): it
follows who answers.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from micahold.membership.member_list import Status


@dataclass(slots=True, frozen=True)
class GatewayCount:
    """Gateways, this one included."""

    upper_bound: int
    live: int


def count_gateways(
    configured: int, members: Iterable[tuple[str, Status]], removed_names: Iterable[str]
) -> GatewayCount:
    """``configured``: gateways by the platform's settings. ``members``: all ever heard of but this one.

    Gateways that the platform tells of and nobody has heard of (``configured`` beyond the known) count in
    both: they may live and not gossip.
    """
    removed = set(removed_names)
    states = dict(members)
    counted = {name: status for name, status in states.items() if name not in removed}
    known = 1 + len(states)
    unheard = max(0, configured - known - len(removed - states.keys()))
    present = [one for one in counted.values() if one is not Status.LEFT]
    up = [one for one in present if one is not Status.DEAD]
    return GatewayCount(1 + len(present) + unheard, 1 + len(up) + unheard)
