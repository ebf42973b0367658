"""Replays: a datagram counts once, by its sender's run and sequence, and only near its own time.

A sender's run is its start in Unix milliseconds; a later run replaces an earlier one. Sequences are checked
as in RFC 4303's anti-replay window. Clocks may be ``clock_error`` apart; ``KEPT_S`` is added for the way.
What is kept of a sender goes once no datagram of that run could pass the time check any more, so a member
that comes back with its clock set back waits that long at most, and a replay never finds the door open.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SEQUENCES = 1024  # sequences behind the highest that may still come late
TRANSIT_ALLOWANCE_S = 5.0


@dataclass(slots=True)
class SenderState:
    """Of one sender: its run, the highest sequence, a bit for each of the last ``SPAN``, when last heard."""

    run: int
    highest: int
    bits: int
    last_heard: float
    clock_offset_s: float  # least of (our time - its time) of late: clock difference and delay, seconds


class ReplayProtection:
    """``check`` before the signature is verified, ``commit`` after."""

    def __init__(self, clock_error: float) -> None:
        self.clock_error = clock_error
        self.senders: dict[str, SenderState] = {}

    def check(self, now: float, sender: str, run: int, sequence: int, at_ms: int) -> str | None:
        """None where it is new, else why not."""
        if abs(now - at_ms / 1000) > self.clock_error + TRANSIT_ALLOWANCE_S:
            return "time"
        seen = self.senders.get(sender)
        if seen is None or run > seen.run:
            return None
        if run < seen.run:
            return "old_run"
        behind = seen.highest - sequence
        if behind < 0:
            return None
        return "repeated" if behind >= WINDOW_SEQUENCES or seen.bits >> behind & 1 else None

    def commit(self, now: float, sender: str, run: int, sequence: int, at_ms: int) -> None:
        """After the signature was found good; ``check`` must have let it pass."""
        seen, apart = self.senders.get(sender), now - at_ms / 1000
        if seen is None or run > seen.run:
            self.senders[sender] = SenderState(run, sequence, 1, now, apart)
            return
        ahead = sequence - seen.highest
        if ahead > 0:
            seen.bits = (
                ((seen.bits << ahead) | 1) & ((1 << WINDOW_SEQUENCES) - 1) if ahead < WINDOW_SEQUENCES else 1
            )
            seen.highest = sequence
        else:
            seen.bits |= 1 << -ahead
        # Follows the least at once and a growing delay slowly: a clock that drifts is not taken for a delay.
        seen.clock_offset_s = min(apart, seen.clock_offset_s + 0.01 * (apart - seen.clock_offset_s))
        seen.last_heard = now

    def statement_age_s(self, now: float, sender: str, at_ms: int) -> float | None:
        """How old a statement of that time is, by the sender's offset; None where none is known."""
        seen = self.senders.get(sender)
        return None if seen is None else max(0.0, now - at_ms / 1000 - seen.clock_offset_s)

    def retain(self, now: float, names: set[str]) -> None:
        """Keep only senders among ``names`` that were heard within twice the time check."""
        last = now - 2 * (self.clock_error + TRANSIT_ALLOWANCE_S)
        self.senders = {
            one: seen for one, seen in self.senders.items() if one in names and seen.last_heard > last
        }
