"""Dissemination: statements ride on datagrams, each a number of times that grows with log n.

After SWIM section 4.1 and Lifeguard's ordering: by level first, then the least sent, then the newest. A
statement replaces an older one under the same key. What has been sent often enough is dropped; the number
kept is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from math import ceil, log10

from micahold.membership.traffic import Level
from micahold.membership.wire import Signed

RETRANSMIT = 4  # times log10(n + 1)
MOST_RUMOURS = 2048


def most_sent(members: int) -> int:
    """How often one statement is sent by one member in a group of that size."""
    return RETRANSMIT * ceil(log10(members + 1))


@dataclass(slots=True)
class Rumour:
    """A statement that still has to go out."""

    key: Hashable
    signed: Signed
    level: Level
    sent: int = 0


class Rumours:
    """What this member passes on, in lines by level and how often it was sent; in each the newest last."""

    def __init__(self) -> None:
        self.kept: dict[Hashable, Rumour] = {}
        self._lines: dict[tuple[int, int], dict[Hashable, Rumour]] = {}

    def add(self, key: Hashable, signed: Signed, level: Level) -> None:
        """Queue a statement; one that is queued already changes nothing."""
        before = self.kept.get(key)
        if before is not None:
            if before.signed == signed:
                return
            self._remove(before)
        self._put(Rumour(key, signed, level))
        if len(self.kept) > MOST_RUMOURS:
            # The least of them: lowest level, most often sent, oldest.
            self._remove(next(iter(self._lines[max(self._lines)].values())))

    def heard_again(self, key: Hashable, signed: Signed) -> None:
        """Somebody told it to us, who know it: one member more has it, so it counts as sent once.

        After the feedback of Demers and others (1987): news that everybody has stops by itself. Not so with
        what clears a name: one member that never hears it buries who lives.
        """
        one = self.kept.get(key)
        if one is not None and one.level is not Level.REFUTE and one.signed.signature == signed.signature:
            self._count(one)

    def drop(self, keep: Callable[[Hashable], bool]) -> None:
        for one in [one for key, one in self.kept.items() if not keep(key)]:
            self._remove(one)

    def _put(self, one: Rumour) -> None:
        self.kept[one.key] = one
        self._lines.setdefault((one.level, one.sent), {})[one.key] = one

    def _remove(self, one: Rumour) -> None:
        del self.kept[one.key]
        line = self._lines[one.level, one.sent]
        del line[one.key]
        if not line:
            del self._lines[one.level, one.sent]

    def _count(self, one: Rumour) -> None:
        self._remove(one)
        one.sent += 1
        self._put(one)

    def pick(self, room: int, most: int, to: str = "", floor: Level = Level.OTHERS) -> list[Rumour]:
        """At most ``most`` rumours up to level ``floor`` in ``room`` bytes, none of them by ``to`` itself."""
        picked: list[Rumour] = []
        passed = 0
        for level, sent in sorted(self._lines):
            if level > floor:
                break
            for one in reversed(self._lines[level, sent].values()):
                length = one.signed.length()
                if length <= room and one.signed.origin != to:
                    room -= length
                    picked.append(one)
                else:
                    passed += 1
                if len(picked) >= most or room < 96 or passed > 2 * most:
                    return picked
        return picked

    def sent(self, rumours: Iterable[Rumour], members: int) -> None:
        """These have left; what has gone out often enough in a group of that size is dropped."""
        limit = most_sent(members)
        for one in rumours:
            if self.kept.get(one.key) is one:
                self._count(one)
                if one.sent >= limit:
                    self._remove(one)

    def __len__(self) -> int:
        return len(self.kept)
