"""Replay protection: a datagram is accepted once, by its sender's run and sequence number, and near its time.

A sender's run is its start time in Unix milliseconds; a later run replaces an earlier one. Sequence numbers
are checked as in the anti-replay window of RFC 4303. Clocks may differ by ``clock_error``;
``TRANSIT_ALLOWANCE_S`` is added for the time in transit. A sender's state is kept, in monotonic time,
until no datagram of its run can pass the time check any more. So a member that restarts with its clock set
back is rejected for that long at most, and a replay is rejected at any time.
"""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SEQUENCES = 1024  # how far behind the highest sequence a datagram may arrive
TRANSIT_ALLOWANCE_S = 5.0  # delay in the network and in socket buffers


@dataclass(slots=True)
class SenderState:
    """State of one sender; bit n of ``seen_bits`` stands for the sequence n below the highest."""

    run: int
    highest_sequence: int
    seen_bits: int
    last_heard: float
    clock_offset_s: float  # recent minimum of (local time - sender's time): clock difference and delay


class ReplayProtection:
    """Replay window of every sender: ``check`` before the signature is verified, ``commit`` after."""

    def __init__(self, clock_error: float) -> None:
        self.clock_error = clock_error
        self.senders: dict[str, SenderState] = {}

    def check(self, unix_now: float, sender: str, run: int, sequence: int, at_ms: int) -> str | None:
        """None for a new datagram, else the reason for its rejection; ``at_ms`` is its time in Unix ms."""
        if abs(unix_now - at_ms / 1000) > self.clock_error + TRANSIT_ALLOWANCE_S:
            return "time"
        state = self.senders.get(sender)
        if state is None or run > state.run:
            return None
        if run < state.run:
            return "old_run"
        behind = state.highest_sequence - sequence
        if behind < 0:
            return None
        return "repeated" if behind >= WINDOW_SEQUENCES or state.seen_bits >> behind & 1 else None

    def commit(self, now: float, unix_now: float, sender: str, run: int, sequence: int, at_ms: int) -> None:
        """Mark a datagram as received; ``check`` must have accepted it and its signature must be valid."""
        state = self.senders.get(sender)
        offset_s = unix_now - at_ms / 1000
        if state is None or run > state.run:
            self.senders[sender] = SenderState(run, sequence, 1, now, offset_s)
            return
        ahead = sequence - state.highest_sequence
        if ahead > 0:
            state.seen_bits = (
                ((state.seen_bits << ahead) | 1) & ((1 << WINDOW_SEQUENCES) - 1)
                if ahead < WINDOW_SEQUENCES
                else 1
            )
            state.highest_sequence = sequence
        else:
            state.seen_bits |= 1 << -ahead
        # Follows a smaller offset at once, a larger one slowly: clock drift must not be counted as delay.
        state.clock_offset_s = min(offset_s, state.clock_offset_s + 0.01 * (offset_s - state.clock_offset_s))
        state.last_heard = now

    def statement_age_s(self, unix_now: float, sender: str, at_ms: int) -> float | None:
        """Age of a statement made at ``at_ms`` by the sender's clock; None where the offset is unknown."""
        state = self.senders.get(sender)
        return None if state is None else max(0.0, unix_now - at_ms / 1000 - state.clock_offset_s)

    def retain(self, now: float, names: set[str]) -> None:
        """Keep only senders among ``names`` that sent within twice the tolerance of the time check."""
        oldest = now - 2 * (self.clock_error + TRANSIT_ALLOWANCE_S)
        self.senders = {
            name: state for name, state in self.senders.items() if name in names and state.last_heard > oldest
        }
