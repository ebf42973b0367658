"""A state machine over three to six members, one of them a liar: what must hold whatever happens."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule, run_state_machine_as_test
from msgspec.structs import replace

from micahold.laboratory import liars
from micahold.laboratory.gossip_network import Network, Node, quick_keyring
from micahold.membership import failure_reports, member_list
from micahold.membership.group import Group
from micahold.membership.member_list import MemberList, Status, StatusChange
from micahold.membership.traffic import RATE_WINDOW_S, EgressLimiter, Priority
from micahold.membership.wire import MemberRecord, SignedStatement

ENGINES = {"e1", "e2", "e3"}
RATE = 4096  # bytes a second: the least that may be set, and it binds in so small a group
SETTLED_S = 45.0  # a suspicion with nobody to confirm it lasts 30 s in so small a group


class Watched(Group):
    """Keeps the moments and bytes of what left."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.left: list[tuple[float, int]] = []

    def _send_datagram(self, now: float, *arguments: Any) -> bool:
        before = len(self.outbox)
        sent = super()._send_datagram(now, *arguments)
        self.left += [(now, len(one.data)) for one in self.outbox[before:]]
        return sent


class Groups(RuleBasedStateMachine):
    """Members m0 ... ; the last slanders every engine."""

    @initialize(number=st.integers(3, 6), seed=st.integers(0, 1000))
    def begin(self, number: int, seed: int) -> None:
        self.net = Network(seed=seed)
        last = f"m{number - 1}"
        self.net.group(number, lambda name: liars.Slanderer if name == last else Watched, rate=RATE)
        self.keyring = quick_keyring(self.net.nodes)
        self.highest: dict[tuple[str, int, str], int] = {}
        self.troubled = self.net.now
        self.run_for(5.0)

    def run_for(self, seconds: float) -> None:
        for node in self.net.living():
            node.group.update_engine_list(self.net.now, ENGINES, set())
        self.net.run(seconds)

    def honest(self) -> list[Node]:
        return [one for one in self.net.living() if isinstance(one.group, Watched)]

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0, 20.0]))
    def time_passes(self, seconds: float) -> None:
        self.run_for(seconds)

    @rule(one=st.integers(0, 5), other=st.integers(0, 5), one_way=st.booleans())
    def cut(self, one: int, other: int, one_way: bool) -> None:
        names = sorted(self.net.nodes)
        self.net.cut([names[one % len(names)]], [names[other % len(names)]], one_way)
        self.troubled = float("inf")

    @rule()
    def heal(self) -> None:
        self.net.heal()
        self.troubled = self.net.now

    @rule(one=st.integers(0, 5), seconds=st.sampled_from([0.5, 2.0, 5.0]))
    def stall(self, one: int, seconds: float) -> None:
        names = sorted(self.net.nodes)
        self.net.stall(names[one % len(names)], seconds)
        self.troubled = max(self.troubled, self.net.now + seconds)

    @rule(one=st.integers(0, 5), pause=st.sampled_from([0.05, 3.0]))
    def restart(self, one: int, pause: float) -> None:
        names = sorted(self.net.nodes)
        name = names[one % len(names)]
        maker = type(self.net.nodes[name].group)
        self.net.kill(name)
        self.run_for(pause)
        seeds = [node.address for node in self.net.nodes.values() if node.name != name]
        self.net.add(name, self.keyring, seeds, maker, rate=RATE)
        if self.troubled < float("inf"):
            self.troubled = max(self.troubled, self.net.now)

    @rule(one=st.integers(0, 5), engine=st.sampled_from(sorted(ENGINES)))
    def an_attempt_goes_well(self, one: int, engine: str) -> None:
        honest = self.honest()
        if honest:
            node = honest[one % len(honest)]
            node.group.record_attempt(self.net.now, engine, False)

    @invariant()
    def incarnations_never_fall(self) -> None:
        for node in self.net.nodes.values():
            for member in node.group.member_list:
                key = (node.name, node.life, member.name)
                assert member.record.incarnation >= self.highest.get(key, 0)
                self.highest[key] = member.record.incarnation

    @invariant()
    def nobody_is_dead_without_a_suspicion_that_ran_out(self) -> None:
        for node in self.net.nodes.values():
            for at, change in node.news:
                if change.after is Status.DEAD:
                    assert change.before is Status.SUSPECT and change.reason == "suspicion ran out"
                    suspected = [
                        when
                        for when, one in node.news
                        if one.name == change.name and one.after is Status.SUSPECT and when <= at
                    ]
                    begun = max(suspected)
                    assert at >= begun + 5.0 - 1e-6

    @invariant()
    def who_lives_and_can_be_reached_is_not_buried(self) -> None:
        for node in self.net.living():
            for at, change in node.news:
                if change.after is Status.DEAD and at > self.troubled + SETTLED_S:
                    assert not self.net.nodes[change.name].up

    @invariant()
    def one_members_word_alone_changes_no_decision(self) -> None:
        for node in self.honest():
            assert not node.group.snapshot.failing and not node.group.snapshot.draining

    @invariant()
    def the_limit_holds_in_every_window(self) -> None:
        for node in self.net.nodes.values():
            if isinstance(node.group, Watched):
                left, first, total = node.group.left, 0, 0
                for at, size in left:
                    total += size
                    while left[first][0] < at - RATE_WINDOW_S:
                        total -= left[first][1]
                        first += 1
                    assert total <= node.group.options.rate

    def teardown(self) -> None:
        if not hasattr(self, "net"):
            return
        self.net.heal()
        assert self.net.run_until(self.net.agree, 180, 1.0) is not None, (
            "views do not agree after the network healed"
        )


Groups.TestCase.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None, derandomize=True, phases=[Phase.generate]
)
TestGroups = Groups.TestCase


# The machine can fail: faults that are planted are found


def _quorum_of_one(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(failure_reports, "quorum", lambda living: 1)


def _no_limit(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(EgressLimiter, "available_bytes", lambda self, now, level: 10**6)


def _no_patience(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(member_list, "MIN_SUSPICION_PERIODS", 1.0)


def _no_refutation(patch: pytest.MonkeyPatch) -> None:
    plain = Group._renew_record

    def renew(group: Group, now: float, level: Priority, left: bool = False) -> None:
        if left:
            plain(group, now, level, left)

    patch.setattr(Group, "_renew_record", renew)


def _old_records_count(patch: pytest.MonkeyPatch) -> None:
    plain = MemberList.apply_record

    def learn(
        self: MemberList, now: float, signed: SignedStatement, record: MemberRecord
    ) -> tuple[bool, list[StatusChange]]:
        if (member := self.members.get(signed.origin)) is not None:
            member.record = replace(member.record, incarnation=0)
        return plain(self, now, signed, record)

    patch.setattr(MemberList, "apply_record", learn)
    patch.setattr(Group, "_handle_record", _hear_any)


def _hear_any(self: Group, now: float, signed: SignedStatement, record: MemberRecord) -> None:
    if signed.origin != self.options.name:
        self.member_list.apply_record(now, signed, record)


@pytest.mark.parametrize(
    "plant",
    [_quorum_of_one, _no_limit, _no_patience, _no_refutation, _old_records_count],
    ids=lambda one: one.__name__,
)
def test_a_planted_fault_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    found = settings(max_examples=150, stateful_step_count=30, derandomize=True, deadline=None,
                     phases=[Phase.generate], report_multiple_bugs=False)  # fmt: skip
    with pytest.raises(AssertionError):
        run_state_machine_as_test(Groups, settings=found)
