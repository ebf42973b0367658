"""A simulated network in virtual time that runs ``Group`` members, with the faults of a real network.

The simulation is deterministic: the same calls with the same seed give the same run. Datagrams are delayed,
lost and duplicated; links can be cut in one or both directions; members can stall, respond slowly, be killed
and restarted, and have clocks with an offset. Anti-entropy exchanges use a connection that keeps order and
loses nothing, but fails where a link between the two members is cut.
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
    """Signs with a keyed hash instead of a digital signature.

    It is much faster, and sufficient in a simulation, where no member tries to forge signatures.
    """

    def __init__(self, key_id: str, secret: bytes) -> None:
        self.key_id, self.secret = key_id, secret

    def sign(self, now: float, data: bytes) -> tuple[str, bytes]:
        """Return the id of the key and the signature of 64 bytes, which is empty for empty data."""
        return self.key_id, blake2b(data, key=self.secret, digest_size=64).digest() if data else b""


class KeyedHashVerifier:
    """Verifies signatures of ``KeyedHashSigner``; the "public" key is the shared secret."""

    def verify(self, public: bytes, data: bytes, signature: bytes) -> bool:
        """Return whether ``signature`` is that of ``data`` under the secret ``public``."""
        return blake2b(data, key=public, digest_size=64).digest() == signature


def derive_secret(name: str, key_id: str = "k1") -> bytes:
    """Return the secret of one key of a member, the same on each call."""
    return blake2b(f"{name}/{key_id}".encode(), digest_size=32).digest()


def keyed_hash_keyring(names: Iterable[str], key_ids: Iterable[str] = ("k1",)) -> Keyring:
    """Return a keyring with these keys for each of the members, valid at any time."""
    all_key_ids = list(key_ids)
    return Keyring(
        [PublicKey(name, key_id, derive_secret(name, key_id)) for name in names for key_id in all_key_ids],
        KeyedHashVerifier(),
    )


@dataclass(slots=True)
class Node:
    """One member on the network; it takes ``handling_time_s`` to handle each event.

    ``status_changes`` and ``bytes_sent_by_second`` are kept when the member restarts.
    """

    name: str
    address: Address
    group: Group
    clock_offset_s: float = 0.0
    handling_time_s: float = 0.0
    stalled_until: float = 0.0
    busy_until: float = 0.0
    next_tick_at: float = float("inf")
    is_up: bool = True
    restart_count: int = 0
    inbox: int = 0
    status_changes: list[tuple[float, StatusChange]] = field(default_factory=list)
    bytes_sent_by_second: Counter[int] = field(default_factory=Counter)


GroupFactory = Callable[[GroupOptions, Signer, Keyring, float, int], Group]


class Network:
    """All members of one gossip group and the links between them.

    ``datagram_filter``, if set, gets each sender and datagram and returns the datagrams to send instead.
    """

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
        self.cut_pairs: set[tuple[str, str]] = set()  # sender and receiver of each cut link
        self.datagram_filter: Callable[[str, Datagram], list[Datagram]] | None = None
        self.counts: Counter[str] = Counter()
        # Time, sequence number, callback and its arguments; the number keeps events of one time in order.
        self._events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self._event_sequence = 0

    # Members

    def address(self, name: str) -> Address:
        """Return the address of a member, or the one that it gets if it is added next."""
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
        """Start a member, or restart it under the same name and address.

        ``options`` are further fields of ``GroupOptions``.
        """
        previous = self.nodes.get(name)
        address = previous.address if previous is not None else self.address(name)
        group_options = GroupOptions(name=name, address=address, seeds=tuple(seeds), **options)
        group_signer = signer or KeyedHashSigner("k1", derive_secret(name))
        group = group_factory(
            group_options, group_signer, keyring, self.now + clock_offset_s, self.random.getrandbits(60)
        )
        node = Node(name, address, group, clock_offset_s)
        node.restart_count = previous.restart_count + 1 if previous is not None else 0
        node.status_changes = previous.status_changes if previous is not None else []
        node.bytes_sent_by_second = previous.bytes_sent_by_second if previous is not None else Counter()
        self.nodes[name] = self.nodes_by_address[address] = node
        self._schedule_tick(node)
        return node

    def start_group(
        self,
        number: int,
        select_factory: Callable[[str], GroupFactory] | None = None,
        converged: bool = False,
        **options: Any,
    ) -> list[Node]:
        """Start ``number`` members named ``m0``, ``m1``, ..., all with ``m0`` as their seed.

        ``select_factory`` gives the factory for each name. With ``converged`` all members have each other's
        records from the start.
        """
        names = [f"m{index}" for index in range(number)]
        keyring = keyed_hash_keyring(names)
        seeds = (("10.0.0.0", 7946),)
        nodes = [
            self.start_member(
                name, keyring, seeds, (select_factory(name) if select_factory else Group), **options
            )
            for name in names
        ]
        if converged:
            self.mark_converged(nodes)
        return nodes

    def mark_converged(self, nodes: list[Node]) -> None:
        """Give all nodes each other's records and clear what they have queued for dissemination.

        Contacts to seeds are delayed by 60 s.
        """
        records = [(node.group.own_record, node.group.record) for node in nodes]
        for node in nodes:
            for signed, record in records:
                if signed.origin != node.name:
                    node.group.member_list.apply_record(self.now, signed, record)
            node.group.dissemination.statements.clear()
            for member in node.group.member_list:
                member.last_heard = self.now
            node.group._next_seed_at += 60.0

    def kill(self, name: str) -> None:
        """Stop a member without an announcement to the group."""
        self.nodes[name].is_up = False

    def stall(self, name: str, seconds: float) -> None:
        """Suspend a member's process; what arrives meanwhile is handled afterwards."""
        self.nodes[name].stalled_until = self.now + seconds

    def cut_links(self, senders: Iterable[str], receivers: Iterable[str], one_way: bool = False) -> None:
        """Cut the links from all senders to all receivers, and those back unless ``one_way``."""
        receiver_names = list(receivers)
        for sender in senders:
            for receiver in receiver_names:
                self.cut_pairs.add((sender, receiver))
                if not one_way:
                    self.cut_pairs.add((receiver, sender))

    def restore_links(self) -> None:
        """Restore all cut links."""
        self.cut_pairs.clear()

    # Time

    def call_at(self, when: float, callback: Callable[..., object], *arguments: Any) -> None:
        """Schedule ``callback`` for a time of the virtual clock."""
        self._event_sequence += 1
        heappush(self._events, (when, self._event_sequence, callback, arguments))

    def run(self, seconds: float) -> None:
        """Advance the virtual clock by ``seconds`` and run all events that are due."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            when, _, callback, arguments = heappop(self._events)
            self.now = max(self.now, when)
            callback(*arguments)
        self.now = until

    def run_until(self, condition: Callable[[], bool], timeout_s: float, step_s: float = 0.1) -> float | None:
        """Run until ``condition`` holds, which is checked every ``step_s``.

        Return the seconds that this took, or None if it did not hold within ``timeout_s``.
        """
        started_at = self.now
        while self.now < started_at + timeout_s:
            self.run(step_s)
            if condition():
                return self.now - started_at
        return None

    def _begin_handling(self, node: Node, callback: Callable[..., None], *arguments: Any) -> bool:
        """Return whether the node can handle an event now; otherwise reschedule ``callback``.

        A node that is stalled or still handles an earlier event cannot.
        """
        available_at = max(node.stalled_until, node.busy_until)
        if available_at > self.now + 1e-9:
            self.call_at(available_at, callback, *arguments)
            return False
        node.busy_until = self.now + node.handling_time_s
        return True

    def _schedule_tick(self, node: Node) -> None:
        due = max(self.now + 1e-4, node.group.due() - node.clock_offset_s)
        if due < node.next_tick_at - 1e-6 or node.next_tick_at <= self.now:
            node.next_tick_at = due
            self.call_at(due, self._tick, node, due)

    def _tick(self, node: Node, due: float) -> None:
        """Call ``tick`` unless the node was killed or restarted, or its tick was rescheduled."""
        if not node.is_up or node.next_tick_at != due or self.nodes[node.name] is not node:
            return
        if self._begin_handling(node, self._tick, node, due):
            node.next_tick_at = float("inf")
            node.group.tick(self.now + node.clock_offset_s)
            self._process_output(node)

    def _process_output(self, node: Node) -> None:
        """Take what the group has collected: datagrams, exchanges to begin and status changes."""
        group = node.group
        if group.outbox:
            outbox, group.outbox = group.outbox, []
            for datagram in outbox:
                for filtered in (
                    self.datagram_filter(node.name, datagram) if self.datagram_filter else (datagram,)
                ):
                    self.send(node, filtered)
        if group.exchange_targets:
            targets, group.exchange_targets = group.exchange_targets, []
            for name, address in targets:
                first_frame = group.begin_exchange(self.now + node.clock_offset_s, name)
                if first_frame is not None:
                    self._send_frame(node, address, first_frame)
        if group.status_changes:
            node.status_changes += [(self.now, change) for change in group.status_changes]
            group.status_changes.clear()
        self._schedule_tick(node)

    # Delivery

    def send(self, node: Node, datagram: Datagram) -> None:
        """Send a datagram from a node, with delay, loss and duplicates."""
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
        if self._begin_handling(node, self._deliver, name, data, source):
            node.group.receive(self.now + node.clock_offset_s, data, source)
            self._process_output(node)

    def _send_frame(self, node: Node, address: Address, data: bytes) -> None:
        """Send one frame of an anti-entropy exchange, over a connection.

        It takes two delays and is dropped if the link is cut in either direction.
        """
        node.bytes_sent_by_second[int(self.now)] += len(data)
        target = self.nodes_by_address.get(address)
        if target is None or {(node.name, target.name), (target.name, node.name)} & self.cut_pairs:
            return
        self.call_at(
            self.now + 2 * self.random.uniform(*self.delay_range_s),
            self._deliver_frame,
            target.name,
            data,
            node.name,
        )

    def _deliver_frame(self, name: str, data: bytes, sender: str) -> None:
        node, source = self.nodes[name], self.nodes[sender]
        if node.is_up and self._begin_handling(node, self._deliver_frame, name, data, sender):
            answers = node.group.handle_frame(self.now + node.clock_offset_s, data, (source.address[0], 0))
            for answer in answers:
                self._send_frame(node, source.address, answer)
            self._process_output(node)

    # Views for experiments and tests

    def live_nodes(self) -> list[Node]:
        """Return the nodes that have not been killed."""
        return [node for node in self.nodes.values() if node.is_up]

    def status(self, viewer: str, name: str) -> Status | None:
        """Return the status of a member in the list of ``viewer``, or None if it is not listed."""
        member = self.nodes[viewer].group.member_list.members.get(name)
        return member.status if member is not None else None

    def is_converged(self) -> bool:
        """Return whether every live node lists every other live node as alive."""
        live_nodes = self.live_nodes()
        return all(
            self.status(viewer.name, other.name) is Status.ALIVE
            for viewer in live_nodes
            for other in live_nodes
            if viewer is not other
        )

    def false_deaths(self) -> int:
        """Return how often members, in total, have declared a member dead that is up now."""
        return sum(
            change.after is Status.DEAD and self.nodes[change.name].is_up
            for node in self.nodes.values()
            for _, change in node.status_changes
        )
