"""Whom to probe, and what became of it: randomised round robin, probes through others, nacks.

SWIM section 4.3: each member is probed once in every round, in an order shuffled anew for each; one that
joins is put at a random place of the running round. Lifeguard: a member asked to probe for another says so
where that one does not answer (nack), so that the asker can tell its own bad link from the target's.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

INDIRECT_PROBE_HELPERS = 3
MAX_INDIRECT_PROBES = 256
NACK_TIMEOUT_SHARE = 0.8  # of the probe time-out


@dataclass(slots=True)
class Probe:
    """One probe of ours that is out."""

    nonce: int
    target: str
    started_at: float
    indirect_at: float
    ends_at: float
    helpers: set[str] = field(default_factory=set)
    indirect_sent: bool = False
    nacks: int = 0


@dataclass(slots=True)
class IndirectProbe:
    """A probe that we make for another member."""

    nonce: int
    requester: str
    requester_nonce: int
    nack_at: float
    ends_at: float
    nack_sent: bool = False


class Prober:
    """The round and the probes that are out; time and names come from the caller."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._nonce = random.getrandbits(40)

    def new_nonce(self) -> int:
        self._nonce += 1
        return self._nonce

    def add_to_round(self, name: str) -> None:
        """Put it at a random place of what is left of the round."""
        self.round.insert(self.random.randint(0, len(self.round)), name)

    def next_target(self, live_names: list[str]) -> str | None:
        """The next of the round that lives; None where nobody else does."""
        present = set(live_names)
        while self.round:
            name = self.round.pop()
            if name in present:
                return name
        self.round = list(live_names)
        self.random.shuffle(self.round)
        return self.round.pop() if self.round else None

    def start_probe(self, now: float, target: str, timeout: float, period: float) -> Probe:
        probe = Probe(self.new_nonce(), target, now, now + timeout, now + period)
        self.probes[probe.nonce] = probe
        return probe

    def choose_helpers(self, probe: Probe, live_names: list[str]) -> list[str]:
        """Members to probe through; marks the probe as asked."""
        probe.indirect_sent = True
        others = [one for one in live_names if one != probe.target]
        chosen = self.random.sample(others, min(INDIRECT_PROBE_HELPERS, len(others)))
        probe.helpers = set(chosen)
        return chosen

    def handle_ack(self, nonce: int, sender: str) -> Probe | IndirectProbe | None:
        """What this ack ends; None where it is too late, or from one who was not asked."""
        probe = self.probes.get(nonce)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            return self.probes.pop(nonce)
        return self.indirect_probes.pop(nonce, None)

    def handle_nack(self, nonce: int, sender: str) -> None:
        probe = self.probes.get(nonce)
        if probe is not None and sender in probe.helpers:
            probe.nacks += 1

    def start_indirect_probe(
        self, now: float, requester: str, requester_nonce: int, timeout: float, period: float
    ) -> IndirectProbe | None:
        """None where too many are open already."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return None
        indirect = IndirectProbe(
            self.new_nonce(), requester, requester_nonce, now + NACK_TIMEOUT_SHARE * timeout, now + period
        )
        self.indirect_probes[indirect.nonce] = indirect
        return indirect

    def due_for_indirect_probes(self, now: float) -> list[Probe]:
        return [one for one in self.probes.values() if not one.indirect_sent and now >= one.indirect_at]

    def take_failed(self, now: float) -> list[Probe]:
        """Probes that failed; they are out no more."""
        over = [one for one in self.probes.values() if now >= one.ends_at]
        for probe in over:
            del self.probes[probe.nonce]
        return over

    def take_due_nacks(self, now: float) -> list[IndirectProbe]:
        """Relays whose target has not answered so far; those that are over are dropped."""
        for indirect in [one for one in self.indirect_probes.values() if now >= one.ends_at]:
            del self.indirect_probes[indirect.nonce]
        due = [one for one in self.indirect_probes.values() if not one.nack_sent and now >= one.nack_at]
        for indirect in due:
            indirect.nack_sent = True
        return due

    def postpone(self, delay_s: float) -> None:
        """This member itself stood still: every wait grows by that."""
        for probe in self.probes.values():
            probe.indirect_at += delay_s
            probe.ends_at += delay_s
        for indirect in self.indirect_probes.values():
            indirect.nack_at += delay_s
            indirect.ends_at += delay_s

    def due(self) -> float:
        times = [one.ends_at if one.indirect_sent else one.indirect_at for one in self.probes.values()]
        times += [one.ends_at if one.nack_sent else one.nack_at for one in self.indirect_probes.values()]
        return min(times, default=inf)
