"""Whom to probe, and what became of it: randomised round robin, probes through others, nacks.

SWIM section 4.3: each member is probed once in every round, in an order shuffled anew for each; one that
joins is put at a random place of the running round. Lifeguard: a member asked to probe for another says so
where that one does not answer (nack), so that the asker can tell its own bad link from the target's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

HELPERS = 3
MOST_RELAYS = 256
NACK_PART = 0.8  # of the probe time-out


@dataclass(slots=True)
class Probe:
    """One probe of ours that is out."""

    nonce: int
    target: str
    began: float
    indirect_at: float
    ends: float
    helpers: set[str] = field(default_factory=set)
    asked: bool = False
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A probe that we make for another member."""

    nonce: int
    asker: str
    askers_nonce: int
    nack_at: float
    ends: float
    nacked: bool = False


class Prober:
    """The round and the probes that are out; time and names come from the caller."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self._nonce = random.getrandbits(40)

    def nonce(self) -> int:
        self._nonce += 1
        return self._nonce

    def joined(self, name: str) -> None:
        """Put it at a random place of what is left of the round."""
        self.round.insert(self.random.randint(0, len(self.round)), name)

    def next(self, living: list[str]) -> str | None:
        """The next of the round that lives; None where nobody else does."""
        present = set(living)
        while self.round:
            name = self.round.pop()
            if name in present:
                return name
        self.round = list(living)
        self.random.shuffle(self.round)
        return self.round.pop() if self.round else None

    def begin(self, now: float, target: str, timeout: float, period: float) -> Probe:
        probe = Probe(self.nonce(), target, now, now + timeout, now + period)
        self.probes[probe.nonce] = probe
        return probe

    def helpers(self, probe: Probe, living: list[str]) -> list[str]:
        """Members to probe through; marks the probe as asked."""
        probe.asked = True
        others = [one for one in living if one != probe.target]
        chosen = self.random.sample(others, min(HELPERS, len(others)))
        probe.helpers = set(chosen)
        return chosen

    def acked(self, nonce: int, sender: str) -> Probe | Relay | None:
        """What this ack ends; None where it is too late, or from one who was not asked."""
        probe = self.probes.get(nonce)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            return self.probes.pop(nonce)
        return self.relays.pop(nonce, None)

    def nacked(self, nonce: int, sender: str) -> None:
        probe = self.probes.get(nonce)
        if probe is not None and sender in probe.helpers:
            probe.nacks += 1

    def relay(self, now: float, asker: str, askers_nonce: int, timeout: float, period: float) -> Relay | None:
        """None where too many are open already."""
        if len(self.relays) >= MOST_RELAYS:
            return None
        relay = Relay(self.nonce(), asker, askers_nonce, now + NACK_PART * timeout, now + period)
        self.relays[relay.nonce] = relay
        return relay

    def to_ask(self, now: float) -> list[Probe]:
        return [one for one in self.probes.values() if not one.asked and now >= one.indirect_at]

    def ended(self, now: float) -> list[Probe]:
        """Probes that failed; they are out no more."""
        over = [one for one in self.probes.values() if now >= one.ends]
        for probe in over:
            del self.probes[probe.nonce]
        return over

    def to_nack(self, now: float) -> list[Relay]:
        """Relays whose target has not answered so far; those that are over are dropped."""
        for relay in [one for one in self.relays.values() if now >= one.ends]:
            del self.relays[relay.nonce]
        due = [one for one in self.relays.values() if not one.nacked and now >= one.nack_at]
        for relay in due:
            relay.nacked = True
        return due

    def postpone(self, late: float) -> None:
        """This member itself stood still: every wait grows by that."""
        for probe in self.probes.values():
            probe.indirect_at += late
            probe.ends += late
        for relay in self.relays.values():
            relay.nack_at += late
            relay.ends += late

    def due(self) -> float:
        times = [one.ends if one.asked else one.indirect_at for one in self.probes.values()]
        times += [one.ends if one.nacked else one.nack_at for one in self.relays.values()]
        return min(times, default=inf)
