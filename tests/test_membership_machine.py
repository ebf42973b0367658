"""State machine test of three to six members, one of which lies, under cuts, stalls and restarts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test
from msgspec.structs import replace

from micahold.laboratory import liars
from micahold.laboratory.gossip_network import Network, Node, keyed_hash_keyring
from micahold.membership import failure_reports, member_list
from micahold.membership.group import Group
from micahold.membership.member_list import MemberList, Status, StatusChange
from micahold.membership.traffic import RATE_WINDOW_S, EgressLimiter, Priority
from micahold.membership.wire import MemberRecord, SignedStatement

ENGINES = {"e1", "e2", "e3"}
RATE_BYTES_PER_S = 4096  # the smallest rate that can be set; low enough to bind in a group of this size
SETTLED_S = 45.0  # an unconfirmed suspicion lasts 30 s in a group of this size


class RecordingGroup(Group):
    """Records the time and size of each datagram sent."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.sent_sizes: list[tuple[float, int]] = []

    def _send_datagram(self, now: float, *arguments: Any) -> bool:
        before = len(self.outbox)
        sent = super()._send_datagram(now, *arguments)
        self.sent_sizes += [(now, len(datagram.data)) for datagram in self.outbox[before:]]
        return sent


class MembershipMachine(RuleBasedStateMachine):
    """Members m0, m1, ...; the last one reports every engine as failing."""

    @initialize(number=st.integers(3, 6), seed=st.integers(0, 1000))
    def begin(self, number: int, seed: int) -> None:
        self.net = Network(seed=seed)
        last = f"m{number - 1}"
        self.net.start_group(
            number,
            lambda name: liars.FalseFailureReporter if name == last else RecordingGroup,
            rate=RATE_BYTES_PER_S,
        )
        self.keyring = keyed_hash_keyring(self.net.nodes)
        self.highest_incarnations: dict[tuple[str, int, str], int] = {}
        self.disturbed_until = self.net.now
        self.run_for(5.0)

    def run_for(self, seconds: float) -> None:
        for node in self.net.live_nodes():
            node.group.update_engine_list(self.net.now, ENGINES, set())
        self.net.run(seconds)

    def honest(self) -> list[Node]:
        return [node for node in self.net.live_nodes() if isinstance(node.group, RecordingGroup)]

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0, 20.0]))
    def time_passes(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule(first=st.integers(0, 5), second=st.integers(0, 5), one_way=st.booleans())
    def cut(self, first: int, second: int, one_way: bool) -> None:
        names = sorted(self.net.nodes)
        self.net.cut_links([names[first % len(names)]], [names[second % len(names)]], one_way)
        self.disturbed_until = float("inf")

    @rule()
    def heal(self) -> None:
        self.net.restore_links()
        self.disturbed_until = self.net.now

    @rule(index=st.integers(0, 5), seconds=st.sampled_from([0.5, 2.0, 5.0]))
    def stall(self, index: int, seconds: float) -> None:
        names = sorted(self.net.nodes)
        self.net.stall(names[index % len(names)], seconds)
        self.disturbed_until = max(self.disturbed_until, self.net.now + seconds)

    @rule(index=st.integers(0, 5), pause=st.sampled_from([0.05, 3.0]))
    def restart(self, index: int, pause: float) -> None:
        names = sorted(self.net.nodes)
        name = names[index % len(names)]
        maker = type(self.net.nodes[name].group)
        self.net.kill(name)
        self.run_for(pause)
        seeds = [node.address for node in self.net.nodes.values() if node.name != name]
        self.net.start_member(name, self.keyring, seeds, maker, rate=RATE_BYTES_PER_S)
        if self.disturbed_until < float("inf"):
            self.disturbed_until = max(self.disturbed_until, self.net.now)

    @rule(index=st.integers(0, 5), engine=st.sampled_from(sorted(ENGINES)))
    def attempt_succeeds(self, index: int, engine: str) -> None:
        honest = self.honest()
        if honest:
            node = honest[index % len(honest)]
            node.group.record_attempt(self.net.now, engine, False)

    @invariant()
    def incarnations_never_decrease(self) -> None:
        for node in self.net.nodes.values():
            for member in node.group.member_list:
                key = (node.name, node.restart_count, member.name)
                assert member.record.incarnation >= self.highest_incarnations.get(key, 0)
                self.highest_incarnations[key] = member.record.incarnation

    @invariant()
    def no_death_without_an_expired_suspicion(self) -> None:
        for node in self.net.nodes.values():
            for at, change in node.status_changes:
                if change.after is Status.DEAD:
                    assert change.before is Status.SUSPECT and change.reason == "suspicion ran out"
                    suspected = [
                        when
                        for when, earlier in node.status_changes
                        if earlier.name == change.name and earlier.after is Status.SUSPECT and when <= at
                    ]
                    suspected_at = max(suspected)
                    assert at >= suspected_at + 5.0 - 1e-6

    @invariant()
    def reachable_members_are_not_declared_dead(self) -> None:
        for node in self.net.live_nodes():
            for at, change in node.status_changes:
                if change.after is Status.DEAD and at > self.disturbed_until + SETTLED_S:
                    assert not self.net.nodes[change.name].is_up

    @invariant()
    def reports_of_one_member_change_no_decision(self) -> None:
        for node in self.honest():
            assert not node.group.snapshot.failing and not node.group.snapshot.draining

    @invariant()
    def traffic_stays_within_the_rate_in_every_window(self) -> None:
        for node in self.net.nodes.values():
            if isinstance(node.group, RecordingGroup):
                sent_sizes, first, total = node.group.sent_sizes, 0, 0
                for at, size in sent_sizes:
                    total += size
                    while sent_sizes[first][0] < at - RATE_WINDOW_S:
                        total -= sent_sizes[first][1]
                        first += 1
                    assert total <= node.group.options.rate

    def teardown(self) -> None:
        if not hasattr(self, "net"):
            return
        self.net.restore_links()
        assert self.net.run_until(self.net.is_converged, 180, 1.0) is not None, (
            "member lists do not converge after the network healed"
        )


MembershipMachine.TestCase.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None, derandomize=True, phases=[Phase.generate]
)
TestMembershipMachine = MembershipMachine.TestCase


# Mutation tests: the machine finds faults that are planted in the membership.


def _quorum_of_one(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failure_reports, "quorum", lambda live_members: 1)


def _no_rate_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EgressLimiter, "available_bytes", lambda self, now, priority: 10**6)


def _short_suspicions(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(member_list, "MIN_SUSPICION_PERIODS", 1.0)


def _no_refutation(patch: pytest.MonkeyPatch) -> None:
    original = Group._renew_record

    def renew(group: Group, now: float, priority: Priority, left: bool = False) -> None:
        if left:
            original(group, now, priority, left)

    patch.setattr(Group, "_renew_record", renew)


def _old_records_accepted(patch: pytest.MonkeyPatch) -> None:
    original = MemberList.apply_record

    def apply_record(
        self: MemberList, now: float, signed: SignedStatement, record: MemberRecord
    ) -> tuple[bool, list[StatusChange]]:
        if (member := self.members.get(signed.origin)) is not None:
            member.record = replace(member.record, incarnation=0)
        return original(self, now, signed, record)

    patch.setattr(MemberList, "apply_record", apply_record)
    patch.setattr(Group, "_handle_record", _apply_any_record)


def _apply_any_record(self: Group, now: float, signed: SignedStatement, record: MemberRecord) -> None:
    if signed.origin != self.options.name:
        self.member_list.apply_record(now, signed, record)


@pytest.mark.parametrize(
    "plant",
    [_quorum_of_one, _no_rate_limit, _short_suspicions, _no_refutation, _old_records_accepted],
    ids=lambda plant: plant.__name__,
)
def test_a_planted_fault_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    search = settings(max_examples=150, stateful_step_count=30, derandomize=True, deadline=None,
                     phases=[Phase.generate], report_multiple_bugs=False)  # fmt: skip
    with pytest.raises(AssertionError):
        run_state_machine_as_test(MembershipMachine, settings=search)
