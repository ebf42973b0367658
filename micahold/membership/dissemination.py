"""Dissemination: statements are piggybacked on datagrams, each a number of times that grows with log n.

Follows SWIM section 4.1 with Lifeguard's order: by priority, then those sent fewest times, then the newest. A
statement replaces an older one under the same key. A statement that reaches the retransmission limit is
dropped, and the number queued is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from math import ceil, log10

from micahold.membership.traffic import Priority
from micahold.membership.wire import SignedStatement

RETRANSMIT_MULTIPLIER = 4  # the retransmission limit is this times ceil(log10(n + 1)) for n members
MAX_QUEUED_STATEMENTS = 2048  # bounds memory


def retransmission_limit(members: int) -> int:
    """How many times one member sends a statement in a group of that size."""
    return RETRANSMIT_MULTIPLIER * ceil(log10(members + 1))


@dataclass(slots=True)
class QueuedStatement:
    """A statement to send, and how many times it has been sent so far."""

    key: Hashable
    signed: SignedStatement
    priority: Priority
    transmissions: int = 0


class DisseminationQueue:
    """The statements that this member sends, in queues by priority and transmissions, each oldest first."""

    def __init__(self) -> None:
        self.statements: dict[Hashable, QueuedStatement] = {}
        self._queues: dict[tuple[int, int], dict[Hashable, QueuedStatement]] = {}

    def add(self, key: Hashable, signed: SignedStatement, priority: Priority) -> None:
        """Queue a statement in place of an older one under its key; no effect where it is queued already."""
        queued = self.statements.get(key)
        if queued is not None:
            if queued.signed == signed:
                return
            self._remove(queued)
        self._insert(QueuedStatement(key, signed, priority))
        if len(self.statements) > MAX_QUEUED_STATEMENTS:
            # Drop the least valuable: lowest priority, most often sent, oldest.
            self._remove(next(iter(self._queues[max(self._queues)].values())))

    def count_duplicate(self, key: Hashable, signed: SignedStatement) -> None:
        """Count a statement as sent once when another member sends it here: one member more has it.

        Feedback as in Demers et al. (1987): statements that every member has stop by themselves. Refutations
        are excepted, since a member that never receives one declares a live member dead.
        """
        statement = self.statements.get(key)
        if (
            statement is not None
            and statement.priority is not Priority.REFUTATION
            and statement.signed.signature == signed.signature
        ):
            self._count_transmission(statement)

    def retain(self, keep: Callable[[Hashable], bool]) -> None:
        """Drop the statements whose key does not satisfy ``keep``."""
        for statement in [statement for key, statement in self.statements.items() if not keep(key)]:
            self._remove(statement)

    def _insert(self, statement: QueuedStatement) -> None:
        self.statements[statement.key] = statement
        self._queues.setdefault((statement.priority, statement.transmissions), {})[statement.key] = statement

    def _remove(self, statement: QueuedStatement) -> None:
        del self.statements[statement.key]
        queue = self._queues[statement.priority, statement.transmissions]
        del queue[statement.key]
        if not queue:
            del self._queues[statement.priority, statement.transmissions]

    def _count_transmission(self, statement: QueuedStatement) -> None:
        self._remove(statement)
        statement.transmissions += 1
        self._insert(statement)

    def select(
        self,
        available_bytes: int,
        max_statements: int,
        receiver: str = "",
        lowest: Priority = Priority.FORWARDED,
    ) -> list[QueuedStatement]:
        """The next statements to send to ``receiver``, except its own.

        At most ``max_statements``, of priority ``lowest`` or higher, within ``available_bytes``. The search
        also ends after 2 * ``max_statements`` that do not fit, which bounds the time of a call.
        """
        selected: list[QueuedStatement] = []
        skipped = 0
        for priority, transmissions in sorted(self._queues):
            if priority > lowest:
                break
            for statement in reversed(self._queues[priority, transmissions].values()):
                length = statement.signed.size_bound()
                if length <= available_bytes and statement.signed.origin != receiver:
                    available_bytes -= length
                    selected.append(statement)
                else:
                    skipped += 1
                if len(selected) >= max_statements or available_bytes < 96 or skipped > 2 * max_statements:
                    return selected
        return selected

    def mark_sent(self, statements: Iterable[QueuedStatement], members: int) -> None:
        """Count these as sent once more; drop those at the retransmission limit for a group of that size."""
        limit = retransmission_limit(members)
        for statement in statements:
            if self.statements.get(statement.key) is statement:
                self._count_transmission(statement)
                if statement.transmissions >= limit:
                    self._remove(statement)

    def __len__(self) -> int:
        return len(self.statements)
