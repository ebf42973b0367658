"""A network in virtual time that runs the members' own cores, with the failures that a real one has.

Seeded: the same calls give the same course. Datagrams have delay, loss and duplicates; links can be cut one
way or both; members can stall, be slow, be killed and restarted, and have clocks that are off. Full exchanges
go over a connection that keeps order and loses nothing, but fails where a cut lies between.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from heapq import heappop, heappush
from random import Random
from typing import Any

from micahold.membership.group import Address, Datagram, Group, GroupOptions
from micahold.membership.keyring import Keyring, PublicKey, Signer, Verifier
from micahold.membership.member_list import Status, StatusChange

START = 1_700_000_000.0  # Unix time at which the virtual clock begins


class QuickHand:
    """A keyed hash in place of a signature: enough for virtual time, where nobody breaks keys, and much
    faster.
    """

    def __init__(self, key: str, secret: bytes) -> None:
        self.key, self.secret = key, secret

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        return self.key, blake2b(data, key=self.secret, digest_size=64).digest() if data else b""


class QuickVerifier:
    """Checks what ``QuickHand`` signs; the "public" key is the secret."""

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool:
        return blake2b(data, key=public, digest_size=64).digest() == signature


def secret_of(name: str, key: str = "k1") -> bytes:
    return blake2b(f"{name}/{key}".encode(), digest_size=32).digest()


def quick_keyring(names: Iterable[str], keys: Iterable[str] = ("k1",)) -> Keyring:
    """The public keys of these members, all valid always."""
    kept = list(keys)
    return Keyring(
        [PublicKey(one, key, secret_of(one, key)) for one in names for key in kept], QuickVerifier()
    )


@dataclass(slots=True)
class Node:
    """One member on the network; ``slow`` is the seconds that it takes over each thing it does."""

    name: str
    address: Address
    group: Group
    offset: float = 0.0
    slow: float = 0.0
    stalled_until: float = 0.0
    busy_until: float = 0.0
    tick_at: float = float("inf")
    up: bool = True
    life: int = 0
    inbox: int = 0
    news: list[tuple[float, StatusChange]] = field(default_factory=list)
    seconds: Counter[int] = field(default_factory=Counter)  # bytes out by second


GroupMaker = Callable[[GroupOptions, Signer, Keyring, float, int], Group]


class Network:
    """All members of one group."""

    def __init__(
        self,
        seed: int = 1,
        delay: tuple[float, float] = (0.0005, 0.003),
        loss: float = 0.0,
        duplicates: float = 0.0,
        verifier: Verifier | None = None,
    ) -> None:
        self.random = Random(seed)
        self.delay, self.loss, self.duplicates = delay, loss, duplicates
        self.now = START
        self.nodes: dict[str, Node] = {}
        self.by_address: dict[Address, Node] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.tap: Callable[[str, Datagram], list[Datagram]] | None = None
        self.counts: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._serial = 0

    # Members

    def address(self, name: str) -> Address:
        number = len(self.nodes) if name not in self.nodes else list(self.nodes).index(name)
        return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 7946

    def add(
        self,
        name: str,
        keyring: Keyring,
        seeds: Iterable[Address] = (),
        maker: GroupMaker = Group,
        signer: Signer | None = None,
        offset: float = 0.0,
        **options: Any,
    ) -> Node:
        """Start a member, or start it again under the same name and address."""
        before = self.nodes.get(name)
        address = before.address if before is not None else self.address(name)
        told = GroupOptions(name=name, address=address, seeds=tuple(seeds), **options)
        hand = signer or QuickHand("k1", secret_of(name))
        group = maker(told, hand, keyring, self.now + offset, self.random.getrandbits(60))
        node = Node(name, address, group, offset)
        node.life = before.life + 1 if before is not None else 0
        node.news = before.news if before is not None else []
        node.seconds = before.seconds if before is not None else Counter()
        self.nodes[name] = self.by_address[address] = node
        self._schedule(node)
        return node

    def group(
        self,
        number: int,
        maker: Callable[[str], GroupMaker] | None = None,
        warm: bool = False,
        **options: Any,
    ) -> list[Node]:
        """So many members ``m0``, ``m1``, ... that know one seed; ``warm``: all know all from the start."""
        names = [f"m{one}" for one in range(number)]
        keyring = quick_keyring(names)
        seeds = (("10.0.0.0", 7946),)
        nodes = [self.add(one, keyring, seeds, (maker(one) if maker else Group), **options) for one in names]
        if warm:
            self.warm(nodes)
        return nodes

    def warm(self, nodes: list[Node]) -> None:
        """All know all, and what each would say of itself has been said."""
        records = [(one.group.own_record, one.group.record) for one in nodes]
        for node in nodes:
            for signed, record in records:
                if signed.origin != node.name:
                    node.group.member_list.apply_record(self.now, signed, record)
            node.group.dissemination.statements.clear()
            for member in node.group.member_list:
                member.last_heard = self.now
            node.group._next_seed_at += 60.0

    def kill(self, name: str) -> None:
        """Gone without a word."""
        self.nodes[name].up = False

    def stall(self, name: str, seconds: float) -> None:
        """The process stands still; what comes for it waits in its sockets."""
        self.nodes[name].stalled_until = self.now + seconds

    def cut(self, these: Iterable[str], those: Iterable[str], one_way: bool = False) -> None:
        others = list(those)
        for one in these:
            for other in others:
                self.cuts.add((one, other))
                if not one_way:
                    self.cuts.add((other, one))

    def heal(self) -> None:
        self.cuts.clear()

    # Time

    def at(self, when: float, act: Callable[..., object], *arguments: Any) -> None:
        """``act`` at that moment of the virtual clock."""
        self._serial += 1
        heappush(self._events, (when, self._serial, act, arguments))

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            when, _, act, arguments = heappop(self._events)
            self.now = max(self.now, when)
            act(*arguments)
        self.now = until

    def run_until(self, wanted: Callable[[], bool], most: float, step: float = 0.1) -> float | None:
        """Seconds until ``wanted`` holds, looked at each ``step``; None where it does not within ``most``."""
        begun = self.now
        while self.now < begun + most:
            self.run(step)
            if wanted():
                return self.now - begun
        return None

    def _ready(self, node: Node, act: Callable[..., None], *arguments: Any) -> bool:
        """False where the member stands still or is busy: the act comes again later."""
        free = max(node.stalled_until, node.busy_until)
        if free > self.now + 1e-9:
            self.at(free, act, *arguments)
            return False
        node.busy_until = self.now + node.slow
        return True

    def _schedule(self, node: Node) -> None:
        due = max(self.now + 1e-4, node.group.due() - node.offset)
        if due < node.tick_at - 1e-6 or node.tick_at <= self.now:
            node.tick_at = due
            self.at(due, self._tick, node, due)

    def _tick(self, node: Node, due: float) -> None:
        if not node.up or node.tick_at != due or self.nodes[node.name] is not node:
            return
        if self._ready(node, self._tick, node, due):
            node.tick_at = float("inf")
            node.group.tick(self.now + node.offset)
            self._after(node)

    def _after(self, node: Node) -> None:
        """Carry out what the core wants after something happened to it."""
        group = node.group
        if group.outbox:
            sent, group.outbox = group.outbox, []
            for datagram in sent:
                for one in self.tap(node.name, datagram) if self.tap else (datagram,):
                    self.send(node, one)
        if group.exchange_targets:
            wanted, group.exchange_targets = group.exchange_targets, []
            for name, address in wanted:
                first = group.begin_exchange(self.now + node.offset, name)
                if first is not None:
                    self._frame(node, address, first)
        if group.status_changes:
            node.news += [(self.now, one) for one in group.status_changes]
            group.status_changes.clear()
        self._schedule(node)

    # Delivery

    def send(self, node: Node, datagram: Datagram) -> None:
        """A datagram leaves a member."""
        node.seconds[int(self.now)] += len(datagram.data)
        target = self.by_address.get(datagram.address)
        if target is None or (node.name, target.name) in self.cuts or self.random.random() < self.loss:
            self.counts["lost"] += 1
            return
        for _ in range(2 if self.random.random() < self.duplicates else 1):
            self.at(self.now + self.random.uniform(*self.delay), self._deliver, target.name, datagram.data,
                    node.address)  # fmt: skip

    def _deliver(self, name: str, data: bytes, source: Address) -> None:
        node = self.nodes[name]
        if not node.up:
            return
        if self._ready(node, self._deliver, name, data, source):
            node.group.receive(self.now + node.offset, data, source)
            self._after(node)

    def _frame(self, node: Node, address: Address, data: bytes) -> None:
        """One frame of a full exchange, over a connection."""
        node.seconds[int(self.now)] += len(data)
        target = self.by_address.get(address)
        if target is None or {(node.name, target.name), (target.name, node.name)} & self.cuts:
            return
        self.at(
            self.now + 2 * self.random.uniform(*self.delay), self._take_frame, target.name, data, node.name
        )

    def _take_frame(self, name: str, data: bytes, sender: str) -> None:
        node, source = self.nodes[name], self.nodes[sender]
        if node.up and self._ready(node, self._take_frame, name, data, sender):
            answers = node.group.handle_frame(self.now + node.offset, data, (source.address[0], 0))
            for answer in answers:
                self._frame(node, source.address, answer)
            self._after(node)

    # Views for trials and tests

    def living(self) -> list[Node]:
        return [one for one in self.nodes.values() if one.up]

    def status(self, viewer: str, name: str) -> Status | None:
        member = self.nodes[viewer].group.member_list.members.get(name)
        return member.status if member is not None else None

    def agree(self) -> bool:
        """Whether every living member knows every other as alive."""
        up = self.living()
        return all(
            self.status(one.name, other.name) is Status.ALIVE
            for one in up
            for other in up
            if one is not other
        )

    def wrong_deaths(self) -> int:
        """How often a member buried one that was up, in all."""
        return sum(
            change.after is Status.DEAD and self.nodes[change.name].up
            for node in self.nodes.values()
            for _, change in node.news
        )
