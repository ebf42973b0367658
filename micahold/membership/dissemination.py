"""Dissemination: statements ride on datagrams, each a number of times that grows with log n.

After SWIM section 4.1 and Lifeguard's ordering: by level first, then the least sent, then the newest. A
statement replaces an older one under the same key. What has been sent often enough is dropped; the number
kept is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from math import ceil, log10

from micahold.membership.traffic import Priority
from micahold.membership.wire import SignedStatement

RETRANSMIT_MULTIPLIER = 4  # times log10(n + 1)
MAX_QUEUED_STATEMENTS = 2048


def retransmission_limit(members: int) -> int:
    """How often one statement is sent by one member in a group of that size."""
    return RETRANSMIT_MULTIPLIER * ceil(log10(members + 1))


@dataclass(slots=True)
class QueuedStatement:
    """A statement that still has to go out."""

    key: Hashable
    signed: SignedStatement
    priority: Priority
    transmissions: int = 0


class DisseminationQueue:
    """What this member passes on, in lines by level and how often it was sent; in each the newest last."""

    def __init__(self) -> None:
        self.statements: dict[Hashable, QueuedStatement] = {}
        self._lines: dict[tuple[int, int], dict[Hashable, QueuedStatement]] = {}

    def add(self, key: Hashable, signed: SignedStatement, priority: Priority) -> None:
        """Queue a statement; one that is queued already changes nothing."""
        before = self.statements.get(key)
        if before is not None:
            if before.signed == signed:
                return
            self._remove(before)
        self._put(QueuedStatement(key, signed, priority))
        if len(self.statements) > MAX_QUEUED_STATEMENTS:
            # The least of them: lowest level, most often sent, oldest.
            self._remove(next(iter(self._lines[max(self._lines)].values())))

    def count_duplicate(self, key: Hashable, signed: SignedStatement) -> None:
        """Somebody told it to us, who know it: one member more has it, so it counts as sent once.

        After the feedback of Demers and others (1987): news that everybody has stops by itself. Not so with
        what clears a name: one member that never hears it buries who lives.
        """
        one = self.statements.get(key)
        if (
            one is not None
            and one.priority is not Priority.REFUTATION
            and one.signed.signature == signed.signature
        ):
            self._count(one)

    def retain(self, keep: Callable[[Hashable], bool]) -> None:
        for one in [one for key, one in self.statements.items() if not keep(key)]:
            self._remove(one)

    def _put(self, one: QueuedStatement) -> None:
        self.statements[one.key] = one
        self._lines.setdefault((one.priority, one.transmissions), {})[one.key] = one

    def _remove(self, one: QueuedStatement) -> None:
        del self.statements[one.key]
        line = self._lines[one.priority, one.transmissions]
        del line[one.key]
        if not line:
            del self._lines[one.priority, one.transmissions]

    def _count(self, one: QueuedStatement) -> None:
        self._remove(one)
        one.transmissions += 1
        self._put(one)

    def select(
        self,
        available_bytes: int,
        max_statements: int,
        receiver: str = "",
        lowest: Priority = Priority.FORWARDED,
    ) -> list[QueuedStatement]:
        """Up to ``max_statements`` down to priority ``lowest`` that fit, none of them by ``receiver``."""
        picked: list[QueuedStatement] = []
        passed = 0
        for priority, sent in sorted(self._lines):
            if priority > lowest:
                break
            for one in reversed(self._lines[priority, sent].values()):
                length = one.signed.size_bound()
                if length <= available_bytes and one.signed.origin != receiver:
                    available_bytes -= length
                    picked.append(one)
                else:
                    passed += 1
                if len(picked) >= max_statements or available_bytes < 96 or passed > 2 * max_statements:
                    return picked
        return picked

    def mark_sent(self, statements: Iterable[QueuedStatement], members: int) -> None:
        """These have left; what has gone out often enough in a group of that size is dropped."""
        limit = retransmission_limit(members)
        for one in statements:
            if self.statements.get(one.key) is one:
                self._count(one)
                if one.transmissions >= limit:
                    self._remove(one)

    def __len__(self) -> int:
        return len(self.statements)
