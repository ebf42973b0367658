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

START_UNIX_S = 1_700_000_000.0  # Unix time at which the virtual clock begins


class KeyedHashSigner:
    """A keyed hash in place of a signature: enough for virtual time, where nobody breaks keys, and much
    faster.
    """

    def __init__(self, key: str, secret: bytes) -> None:
        self.key, self.secret = key, secret

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        return self.key, blake2b(data, key=self.secret, digest_size=64).digest() if data else b""


class KeyedHashVerifier:
    """Checks what ``KeyedHashSigner`` signs; the "public" key is the secret."""

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool:
        return blake2b(data, key=public, digest_size=64).digest() == signature


def derive_secret(name: str, key: str = "k1") -> bytes:
    return blake2b(f"{name}/{key}".encode(), digest_size=32).digest()


def keyed_hash_keyring(names: Iterable[str], keys: Iterable[str] = ("k1",)) -> Keyring:
    """The public keys of these members, all valid always."""
    kept = list(keys)
    return Keyring(
        [PublicKey(one, key, derive_secret(one, key)) for one in names for key in kept], KeyedHashVerifier()
    )


@dataclass(slots=True)
class Node:
    """One member on the network; ``handling_time_s`` is the seconds that it takes over each thing it does."""

    name: str
    address: Address
    group: Group
    clock_offset_s: float = 0.0
    handling_time_s: float = 0.0
    stalled_until: float = 0.0
    busy_until: float = 0.0
    tick_at: float = float("inf")
    is_up: bool = True
    restart_count: int = 0
    inbox: int = 0
    status_changes: list[tuple[float, StatusChange]] = field(default_factory=list)
    bytes_sent_by_second: Counter[int] = field(default_factory=Counter)  # bytes out by second


GroupFactory = Callable[[GroupOptions, Signer, Keyring, float, int], Group]


class Network:
    """All members of one group."""

    def __init__(
        self,
        seed: int = 1,
        delay_range_s: tuple[float, float] = (0.0005, 0.003),
        loss_probability: float = 0.0,
        duplicate_probability: float = 0.0,
        verifier: Verifier | None = None,
    ) -> None:
        self.random = Random(seed)
        self.delay_range_s = delay_range_s
        self.loss_probability = loss_probability
        self.duplicate_probability = duplicate_probability
        self.now = START_UNIX_S
        self.nodes: dict[str, Node] = {}
        self.nodes_by_address: dict[Address, Node] = {}
        self.cut_pairs: set[tuple[str, str]] = set()
        self.datagram_filter: Callable[[str, Datagram], list[Datagram]] | None = None
        self.counts: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._serial = 0

    # Members

    def address(self, name: str) -> Address:
        number = len(self.nodes) if name not in self.nodes else list(self.nodes).index(name)
        return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", 7946

    def start_member(
        self,
        name: str,
        keyring: Keyring,
        seeds: Iterable[Address] = (),
        group_factory: GroupFactory = Group,
        signer: Signer | None = None,
        clock_offset_s: float = 0.0,
        **options: Any,
    ) -> Node:
        """Start a member, or start it again under the same name and address."""
        before = self.nodes.get(name)
        address = before.address if before is not None else self.address(name)
        told = GroupOptions(name=name, address=address, seeds=tuple(seeds), **options)
        hand = signer or KeyedHashSigner("k1", derive_secret(name))
        group = group_factory(told, hand, keyring, self.now + clock_offset_s, self.random.getrandbits(60))
        node = Node(name, address, group, clock_offset_s)
        node.restart_count = before.restart_count + 1 if before is not None else 0
        node.status_changes = before.status_changes if before is not None else []
        node.bytes_sent_by_second = before.bytes_sent_by_second if before is not None else Counter()
        self.nodes[name] = self.nodes_by_address[address] = node
        self._schedule(node)
        return node

    def start_group(
        self,
        number: int,
        group_factory: Callable[[str], GroupFactory] | None = None,
        converged: bool = False,
        **options: Any,
    ) -> list[Node]:
        """Members ``m0``, ``m1``, ... with one seed; ``converged``: all know all from the start."""
        names = [f"m{one}" for one in range(number)]
        keyring = keyed_hash_keyring(names)
        seeds = (("10.0.0.0", 7946),)
        nodes = [
            self.start_member(
                one, keyring, seeds, (group_factory(one) if group_factory else Group), **options
            )
            for one in names
        ]
        if converged:
            self.mark_converged(nodes)
        return nodes

    def mark_converged(self, nodes: list[Node]) -> None:
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
        self.nodes[name].is_up = False

    def stall(self, name: str, seconds: float) -> None:
        """The process stands still; what comes for it waits in its sockets."""
        self.nodes[name].stalled_until = self.now + seconds

    def cut_links(self, these: Iterable[str], those: Iterable[str], one_way: bool = False) -> None:
        others = list(those)
        for one in these:
            for other in others:
                self.cut_pairs.add((one, other))
                if not one_way:
                    self.cut_pairs.add((other, one))

    def restore_links(self) -> None:
        self.cut_pairs.clear()

    # Time

    def call_at(self, when: float, act: Callable[..., object], *arguments: Any) -> None:
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

    def run_until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.1) -> float | None:
        """Seconds until ``condition`` holds, checked each ``step_s``; None after ``timeout_s``."""
        begun = self.now
        while self.now < begun + timeout_s:
            self.run(step_s)
            if condition():
                return self.now - begun
        return None

    def _ready(self, node: Node, act: Callable[..., None], *arguments: Any) -> bool:
        """False where the member stands still or is busy: the act comes again later."""
        free = max(node.stalled_until, node.busy_until)
        if free > self.now + 1e-9:
            self.call_at(free, act, *arguments)
            return False
        node.busy_until = self.now + node.handling_time_s
        return True

    def _schedule(self, node: Node) -> None:
        due = max(self.now + 1e-4, node.group.due() - node.clock_offset_s)
        if due < node.tick_at - 1e-6 or node.tick_at <= self.now:
            node.tick_at = due
            self.call_at(due, self._tick, node, due)

    def _tick(self, node: Node, due: float) -> None:
        if not node.is_up or node.tick_at != due or self.nodes[node.name] is not node:
            return
        if self._ready(node, self._tick, node, due):
            node.tick_at = float("inf")
            node.group.tick(self.now + node.clock_offset_s)
            self._process_output(node)

    def _process_output(self, node: Node) -> None:
        """Carry out what the core wants after something happened to it."""
        group = node.group
        if group.outbox:
            sent, group.outbox = group.outbox, []
            for datagram in sent:
                for one in self.datagram_filter(node.name, datagram) if self.datagram_filter else (datagram,):
                    self.send(node, one)
        if group.exchange_targets:
            wanted, group.exchange_targets = group.exchange_targets, []
            for name, address in wanted:
                first = group.begin_exchange(self.now + node.clock_offset_s, name)
                if first is not None:
                    self._frame(node, address, first)
        if group.status_changes:
            node.status_changes += [(self.now, one) for one in group.status_changes]
            group.status_changes.clear()
        self._schedule(node)

    # Delivery

    def send(self, node: Node, datagram: Datagram) -> None:
        """A datagram leaves a member."""
        node.bytes_sent_by_second[int(self.now)] += len(datagram.data)
        target = self.nodes_by_address.get(datagram.address)
        if (
            target is None
            or (node.name, target.name) in self.cut_pairs
            or self.random.random() < self.loss_probability
        ):
            self.counts["lost"] += 1
            return
        for _ in range(2 if self.random.random() < self.duplicate_probability else 1):
            self.call_at(
                self.now + self.random.uniform(*self.delay_range_s),
                self._deliver,
                target.name,
                datagram.data,
                node.address,
            )

    def _deliver(self, name: str, data: bytes, source: Address) -> None:
        node = self.nodes[name]
        if not node.is_up:
            return
        if self._ready(node, self._deliver, name, data, source):
            node.group.receive(self.now + node.clock_offset_s, data, source)
            self._process_output(node)

    def _frame(self, node: Node, address: Address, data: bytes) -> None:
        """One frame of a full exchange, over a connection."""
        node.bytes_sent_by_second[int(self.now)] += len(data)
        target = self.nodes_by_address.get(address)
        if target is None or {(node.name, target.name), (target.name, node.name)} & self.cut_pairs:
            return
        self.call_at(
            self.now + 2 * self.random.uniform(*self.delay_range_s),
            self._take_frame,
            target.name,
            data,
            node.name,
        )

    def _take_frame(self, name: str, data: bytes, sender: str) -> None:
        node, source = self.nodes[name], self.nodes[sender]
        if node.is_up and self._ready(node, self._take_frame, name, data, sender):
            answers = node.group.handle_frame(self.now + node.clock_offset_s, data, (source.address[0], 0))
            for answer in answers:
                self._frame(node, source.address, answer)
            self._process_output(node)

    # Views for trials and tests

    def live_nodes(self) -> list[Node]:
        return [one for one in self.nodes.values() if one.is_up]

    def status(self, viewer: str, name: str) -> Status | None:
        member = self.nodes[viewer].group.member_list.members.get(name)
        return member.status if member is not None else None

    def is_converged(self) -> bool:
        """Whether every living member knows every other as alive."""
        up = self.live_nodes()
        return all(
            self.status(one.name, other.name) is Status.ALIVE
            for one in up
            for other in up
            if one is not other
        )

    def false_deaths(self) -> int:
        """How often a member buried one that was up, in all."""
        return sum(
            change.after is Status.DEAD and self.nodes[change.name].is_up
            for node in self.nodes.values()
            for _, change in node.status_changes
        )
