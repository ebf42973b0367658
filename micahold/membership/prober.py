"""Probes of the failure detector: targets by randomised round robin, indirect probes, and nacks.

SWIM section 4.3: each member is probed once in every round, in an order shuffled anew for each round; a
member that joins is inserted at a random position of the current round. Lifeguard: a member asked for an
indirect probe answers with a nack when the target does not reply in time, so that the requester can tell its
own bad link from an unreachable target.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from random import Random

INDIRECT_PROBE_HELPERS = 3  # members asked to probe a target that did not acknowledge the direct probe
MAX_INDIRECT_PROBES = 256  # made for other members at once; bounds memory
NACK_TIMEOUT_SHARE = 0.8  # of the probe timeout, after which a nack goes to the requester


@dataclass(slots=True)
class Probe:
    """A probe by this member that is in flight; times are on the caller's clock."""

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
    """A probe that this member makes for another, the requester."""

    nonce: int
    requester: str
    requester_nonce: int
    nack_at: float
    ends_at: float
    nack_sent: bool = False


class Prober:
    """The current round and the probes in flight; the caller passes in the time and the members' names."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.round: list[str] = []
        self.probes: dict[int, Probe] = {}
        self.indirect_probes: dict[int, IndirectProbe] = {}
        self._nonce = random.getrandbits(40)

    def new_nonce(self) -> int:
        """A number that identifies one probe of this member in its acks and nacks."""
        self._nonce += 1
        return self._nonce

    def add_to_round(self, name: str) -> None:
        """Insert a new member at a random position of the rest of the round."""
        self.round.insert(self.random.randint(0, len(self.round)), name)

    def next_target(self, live_names: list[str]) -> str | None:
        """The next member of the round that is still live; None where there is no other live member."""
        present = set(live_names)
        while self.round:
            name = self.round.pop()
            if name in present:
                return name
        self.round = list(live_names)
        self.random.shuffle(self.round)
        return self.round.pop() if self.round else None

    def start_probe(self, now: float, target: str, timeout: float, period: float) -> Probe:
        """Start a probe: indirect probes are due after ``timeout``, and it fails after ``period`` seconds."""
        probe = Probe(self.new_nonce(), target, now, now + timeout, now + period)
        self.probes[probe.nonce] = probe
        return probe

    def choose_helpers(self, probe: Probe, live_names: list[str]) -> list[str]:
        """Pick the members to send indirect probe requests to, and mark the requests as sent."""
        probe.indirect_sent = True
        candidates = [name for name in live_names if name != probe.target]
        chosen = self.random.sample(candidates, min(INDIRECT_PROBE_HELPERS, len(candidates)))
        probe.helpers = set(chosen)
        return chosen

    def handle_ack(self, nonce: int, sender: str) -> Probe | IndirectProbe | None:
        """The probe that this ack completes; None where it is late or its sender was not asked.

        A probe of this member is completed by a direct ack of the target or by one that a helper passes on.
        """
        probe = self.probes.get(nonce)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            return self.probes.pop(nonce)
        return self.indirect_probes.pop(nonce, None)

    def handle_nack(self, nonce: int, sender: str) -> None:
        """Count a nack from a helper of this probe."""
        probe = self.probes.get(nonce)
        if probe is not None and sender in probe.helpers:
            probe.nacks += 1

    def start_indirect_probe(
        self, now: float, requester: str, requester_nonce: int, timeout: float, period: float
    ) -> IndirectProbe | None:
        """Start a probe for another member; None where too many are in flight already."""
        if len(self.indirect_probes) >= MAX_INDIRECT_PROBES:
            return None
        indirect = IndirectProbe(
            self.new_nonce(), requester, requester_nonce, now + NACK_TIMEOUT_SHARE * timeout, now + period
        )
        self.indirect_probes[indirect.nonce] = indirect
        return indirect

    def due_for_indirect_probes(self, now: float) -> list[Probe]:
        """Probes whose timeout has passed and whose indirect probes have not been requested yet."""
        return [
            probe for probe in self.probes.values() if not probe.indirect_sent and now >= probe.indirect_at
        ]

    def take_failed(self, now: float) -> list[Probe]:
        """Remove the probes that ended without an ack, and return them."""
        failed = [probe for probe in self.probes.values() if now >= probe.ends_at]
        for probe in failed:
            del self.probes[probe.nonce]
        return failed

    def take_due_nacks(self, now: float) -> list[IndirectProbe]:
        """Indirect probes whose nack is due now, each returned once; those that have ended are removed."""
        for indirect in [probe for probe in self.indirect_probes.values() if now >= probe.ends_at]:
            del self.indirect_probes[indirect.nonce]
        due = [
            probe for probe in self.indirect_probes.values() if not probe.nack_sent and now >= probe.nack_at
        ]
        for indirect in due:
            indirect.nack_sent = True
        return due

    def postpone(self, stall_s: float) -> None:
        """Extend every deadline by the time for which this process was stalled."""
        for probe in self.probes.values():
            probe.indirect_at += stall_s
            probe.ends_at += stall_s
        for indirect in self.indirect_probes.values():
            indirect.nack_at += stall_s
            indirect.ends_at += stall_s

    def due(self) -> float:
        """Time of the next deadline of any probe, infinity where none is in flight."""
        times = [
            probe.ends_at if probe.indirect_sent else probe.indirect_at for probe in self.probes.values()
        ]
        times += [
            probe.ends_at if probe.nack_sent else probe.nack_at for probe in self.indirect_probes.values()
        ]
        return min(times, default=inf)
