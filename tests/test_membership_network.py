"""Gossip groups under lying members, network faults, restarts and key changes, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from micahold.laboratory import liars
from micahold.laboratory.gossip_network import Network, Node, QuickHand, quick_keyring, secret_of
from micahold.membership.group import Datagram, Group
from micahold.membership.keyring import Keyring, PublicKey
from micahold.membership.member_list import Status

ENGINES = {f"e{one}" for one in range(16)}


def see(net: Network, failing: set[str] = frozenset(), each: int = 2, only: set[str] | None = None) -> None:  # type: ignore[assignment]
    """Make every member send ``each`` attempts to all engines twice a second from now on.

    Attempts on the engines in ``failing`` fail; with ``only``, no other members send attempts.
    """

    def act() -> None:
        for node in net.living():
            if only is None or node.name in only:
                for engine in sorted(ENGINES):
                    for _ in range(each):
                        node.group.record_attempt(net.now + node.offset, engine, engine in failing)
        net.at(net.now + 0.5, act)

    for node in net.living():
        node.group.update_engine_list(net.now + node.offset, ENGINES, set())
    act()


def with_liars(number: int, kind: type[Group], members: int = 10, **options: Any) -> Network:
    """Return a converged network in which the last ``number`` of the members are of class ``kind``."""
    net = Network(seed=11, **options)
    first = members - number
    net.group(members, lambda name: kind if int(name[1:]) >= first else Group)
    assert net.run_until(net.agree, 20) is not None
    return net


def honest(net: Network) -> list[Node]:
    return [one for one in net.living() if type(one.group) is Group]


def believed(net: Network, seconds: float, view: Callable[[Group], frozenset[str]]) -> set[str]:
    """Return all engines that ``view`` gave for any honest member within that time."""
    found: set[str] = set()
    end = net.now + seconds
    while net.now < end:
        net.run(0.2)
        for node in honest(net):
            found |= view(node.group)
    return found


def under_the_rate(net: Network) -> bool:
    return all(
        number <= node.group.options.rate for node in honest(net) for second, number in node.seconds.items()
    )


# Lying members


@pytest.mark.parametrize("number", [1, 2, 3])
def test_false_failure_reports_of_up_to_three_of_ten_members_have_no_effect(number: int) -> None:
    net = with_liars(number, liars.Slanderer)
    see(net)
    assert not believed(net, 20, lambda group: group.snapshot.failing)
    for node in honest(net):
        for liar in (one for one in net.living() if one not in honest(net)):
            voice = node.group.failure_reports.reporters.get(liar.name)
            assert voice is None or voice.credibility_at(net.now + node.offset) < 0.5
    assert under_the_rate(net)


def test_three_colluding_liars_do_not_convince_members_without_own_attempts() -> None:
    net = with_liars(3, liars.Slanderer)
    see(net, only={"m1"})
    assert not believed(net, 10, lambda group: group.snapshot.failing)


def test_true_engine_failure_reaches_members_without_own_attempts() -> None:
    net = with_liars(1, liars.Flatterer)
    see(net, failing={"e3"}, only={"m0", "m1", "m2", "m3", "m4"})
    found = believed(net, 5, lambda group: group.snapshot.failing)
    assert found == {"e3"}
    assert all("e3" in node.group.snapshot.failing for node in honest(net))


def test_member_that_reports_a_failing_engine_healthy_loses_credit() -> None:
    net = with_liars(1, liars.Flatterer)
    see(net, failing={"e3"})
    net.run(10)
    for node in honest(net):
        assert "e3" in node.group.snapshot.failing
        assert node.group.failure_reports.reporters["m9"].credibility_at(net.now) < 0.5


def test_equivocation_is_proven_to_all_members_and_the_liar_is_ignored() -> None:
    net = with_liars(1, liars.Equivocator)
    see(net, only={"m1", "m8"})
    net.run(15)
    assert all("m9" in node.group.failure_reports.equivocations for node in honest(net))
    assert not any("m9" in node.group.failure_reports.reporters for node in honest(net))
    assert not [node for node in honest(net) if set(node.group.failure_reports.equivocations) - {"m9"}]


def test_false_drain_reports_of_one_member_have_no_effect() -> None:
    net = with_liars(1, liars.Drainer)
    see(net)
    assert not believed(net, 10, lambda group: group.snapshot.draining)


def test_false_drain_reports_of_three_members_affect_few_engines_for_a_short_time() -> None:
    net = with_liars(3, liars.Drainer)
    see(net)
    assert len(believed(net, 2, lambda group: group.snapshot.draining)) <= len(ENGINES) // 8
    net.run(4)
    assert not believed(net, 30, lambda group: group.snapshot.draining)


def test_member_that_suspects_everybody_causes_no_false_death_and_loses_trust() -> None:
    net = with_liars(1, liars.Accuser)
    net.run(60)
    assert net.wrong_deaths() == 0
    assert not any(
        node.group.member_list.is_credible(net.now, "m9") for node in honest(net) if node.name != "m9"
    )
    assert under_the_rate(net)


def test_flooding_member_exhausts_only_its_own_share_of_the_receive_rate() -> None:
    net = with_liars(1, liars.Flooder, loss=0.0)
    net.run(20)
    victim = net.nodes["m0"].group
    assert victim.counts["datagrams_over_rate"] > 1000  # dropped before any signature was checked
    assert victim.counts["signatures_checked"] < 25 * victim.options.rate_in / 800
    assert net.wrong_deaths() == 0
    assert all(net.status("m0", node.name) is Status.ALIVE for node in honest(net) if node.name != "m0")


# Replays and network faults


def test_replayed_datagrams_are_dropped_without_verifying_signatures() -> None:
    net, kept = Network(seed=2), list[tuple[str, Datagram]]()

    def tap(sender: str, datagram: Datagram) -> list[Datagram]:
        kept.append((sender, datagram))
        return [datagram]

    net.tap = tap
    net.group(4)
    net.run(10)
    group = net.nodes["m0"].group
    before, checked = dict(group.member_list.members), group.counts["signatures_checked"]
    mine = [one for one in kept if one[1].address == net.nodes["m0"].address]
    for at, (sender, datagram) in enumerate(mine):
        group.receive(net.now + 3600 + at, datagram.data, net.nodes[sender].address)
    assert group.counts["datagrams_time"] == len(mine) > 20
    assert group.counts["signatures_checked"] == checked
    assert group.member_list.members == before
    for sender, datagram in mine[-20:]:
        group.receive(net.now, datagram.data, net.nodes[sender].address)
    assert group.counts["datagrams_repeated"] == 20


def test_corrupted_datagrams_cause_no_false_death_and_no_unknown_members() -> None:
    net = Network(seed=5)

    def alter(sender: str, datagram: Datagram) -> list[Datagram]:
        if net.random.random() < 0.3:
            data = bytearray(datagram.data)
            data[net.random.randrange(len(data))] ^= 1 << net.random.randrange(8)
            return [Datagram(datagram.address, bytes(data))]
        return [datagram]

    net.tap = alter
    net.group(6)
    assert net.run_until(net.agree, 30) is not None
    net.run(30)
    assert net.wrong_deaths() == 0
    for node in net.living():
        bad = sum(
            node.group.counts[f"datagrams_{why}"] for why in ("unreadable", "unknown_member", "unknown_key")
        )
        assert bad + node.group.counts["statements_bad_signature"] > 0
        assert set(node.group.member_list.members) == {f"m{one}" for one in range(6)} - {node.name}


def test_death_is_detected_despite_members_that_relay_nothing_reordering_and_duplicates() -> None:
    net = with_liars(4, liars.Withholder, delay=(0.001, 0.3), duplicates=0.3)
    net.kill("m0")
    knows = net.run_until(lambda: all(net.status(one.name, "m0") is Status.DEAD for one in net.living()), 60)
    assert knows is not None
    assert net.wrong_deaths() == 0


def test_one_way_link_failure_causes_no_false_death() -> None:
    net = Network(seed=6)
    net.group(8)
    net.run_until(net.agree, 20)
    net.cut(["m0"], ["m1", "m2"], one_way=True)
    net.run(90)
    assert net.wrong_deaths() == 0


@pytest.mark.parametrize("small", [5, 2])
def test_partition_never_lowers_the_size_bound_and_heals(small: int) -> None:
    net = Network(seed=8)
    net.group(10, configured_gateways=10)
    net.run_until(net.agree, 20)
    ones = [f"m{one}" for one in range(small)]
    others = [f"m{one}" for one in range(small, 10)]
    net.cut(ones, others)
    net.run(60)
    for node in net.living():
        same = len(ones) if node.name in ones else len(others)
        assert node.group.snapshot.gateways.upper_bound == 10
        # In a partition of two all probes fail; the bad local health score then delays death declarations.
        assert same <= node.group.snapshot.gateways.live <= (same if same > 2 else 4)
    net.heal()
    assert net.run_until(net.agree, 60) is not None
    net.run(1)
    assert all(node.group.snapshot.gateways.live == 10 for node in net.living())
    deaths = net.wrong_deaths()
    net.run(60)
    assert net.wrong_deaths() == deaths


# Slow, dead, joining and restarted members


def test_stalled_member_and_slow_member_are_not_declared_dead() -> None:
    net = Network(seed=9)
    net.group(10)
    net.run_until(net.agree, 20)
    net.nodes["m3"].slow = 0.02
    for _ in range(10):
        net.stall("m5", 2.0)
        net.run(12)
    assert net.wrong_deaths() == 0


def test_member_declares_nobody_dead_after_its_own_stall() -> None:
    net = Network(seed=9)
    net.group(10)
    net.run_until(net.agree, 20)
    net.stall("m5", 8.0)
    net.run(20)
    assert net.nodes["m5"].group.counts["stalls"] >= 1
    assert not [one for _, one in net.nodes["m5"].news if one.after is Status.DEAD]


def test_hundred_members_joining_within_a_second_converge() -> None:
    net, names = Network(seed=10), [f"m{one}" for one in range(100)]
    keyring = quick_keyring(names)
    for at, name in enumerate(names):
        net.at(net.now + at / 100, partial(net.add, name, keyring, [("10.0.0.0", 7946)]))
    took = net.run_until(lambda: len(net.nodes) == 100 and net.agree(), 40, 1.0)
    assert took is not None
    assert net.wrong_deaths() == 0
    assert under_the_rate(net)


def test_simultaneous_restart_of_all_members_converges() -> None:
    net = Network(seed=12)
    net.group(10)
    net.run_until(net.agree, 20)
    keyring = quick_keyring([f"m{one}" for one in range(10)])
    for node in list(net.nodes.values()):
        net.add(node.name, keyring, [("10.0.0.0", 7946)])
    assert net.run_until(net.agree, 20) is not None
    net.run(30)
    assert net.wrong_deaths() == 0


def test_restarted_members_learn_of_one_that_kept_running_without_exchanges() -> None:
    """The running member's pings must carry its record.

    A restarted member has no address to answer to without that record. The running member regarded them as
    introduced already, left its record out, and its pings stayed unanswered.
    """
    net = Network(seed=12)
    net.group(3, rate=2000)
    net.run_until(net.agree, 20)
    keyring = quick_keyring(["m0", "m1", "m2"])
    for name in ("m0", "m2"):
        net.add(name, keyring, [("10.0.0.0", 7946), ("10.0.0.2", 7946)], rate=2000)
    for node in net.living():
        node.group.begin_exchange = lambda now, name: None  # type: ignore[method-assign]
    assert net.run_until(net.agree, 30) is not None


def test_member_restarted_with_its_clock_set_back_rejoins() -> None:
    net = Network(seed=12)
    net.group(5)
    net.run_until(net.agree, 20)
    keyring = quick_keyring([f"m{one}" for one in range(5)])
    net.kill("m2")
    net.run(1)
    net.add("m2", keyring, [("10.0.0.0", 7946)], offset=-20.0)
    assert net.run_until(net.agree, 150, 1.0) is not None


def test_group_keeps_running_after_its_only_seed_has_died() -> None:
    net = Network(seed=13)
    net.group(8)
    net.run_until(net.agree, 20)
    net.kill("m0")  # the only seed
    net.run(60)
    alive = [f"m{one}" for one in range(1, 8)]
    assert all(net.status(one, other) is Status.ALIVE for one in alive for other in alive if one != other)
    assert all(net.status(one, "m0") is Status.DEAD for one in alive)


def test_leave_lowers_the_size_bound_at_once_and_death_does_not() -> None:
    net = Network(seed=14)
    net.group(6, configured_gateways=6)
    net.run_until(net.agree, 20)
    net.nodes["m5"].group.leave(net.now)
    net._after(net.nodes["m5"])
    net.run(2)
    net.kill("m5")
    net.kill("m4")
    net.run(60)
    assert {
        (node.group.snapshot.gateways.upper_bound, node.group.snapshot.gateways.live) for node in net.living()
    } == {(5, 4)}
    assert not [one for node in net.living() for _, one in node.news
                if one.name == "m5" and one.after in (Status.SUSPECT, Status.DEAD)]  # fmt: skip


def test_clocks_thirty_seconds_apart_are_tolerated() -> None:
    net, names = Network(seed=15), [f"m{one}" for one in range(6)]
    keyring = quick_keyring(names)
    for at, name in enumerate(names):
        net.add(name, keyring, [("10.0.0.0", 7946)], offset=-15.0 + 6.0 * at)
    assert net.run_until(net.agree, 30) is not None
    see(net, failing={"e1"})
    net.run(6)
    assert all("e1" in node.group.snapshot.failing for node in net.living())
    assert net.wrong_deaths() == 0


# Keys


def two_keys(names: list[str], both: list[str], old: str = "k1") -> Keyring:
    """Return a keyring with key ``old`` for all names and a second key, k2, for those in ``both``."""
    ring = quick_keyring(names, [old])
    for name in both:
        ring.keys[name]["k2"] = PublicKey(name, "k2", secret_of(name, "k2"))
    return ring


def test_key_rotation_loses_no_member() -> None:
    net, names = Network(seed=16), [f"m{one}" for one in range(6)]
    net.group(6)
    net.run_until(net.agree, 20)
    for ring in (two_keys(names, ["m2"]), two_keys(names, ["m2"])):
        for node in net.living():
            signer = QuickHand("k2", secret_of("m2", "k2")) if node.name == "m2" else node.group.signer
            node.group.reconfigure(net.now, node.group.options, signer, ring)
            net.run(0.5)
    net.run(20)
    retired = two_keys(names, ["m2"])
    del retired.keys["m2"]["k1"]
    for node in net.living():
        node.group.reconfigure(net.now, node.group.options, node.group.signer, retired)
    net.run(60)
    assert net.wrong_deaths() == 0 and net.agree()


def test_member_with_retired_key_is_declared_dead_and_rejoins_with_valid_key() -> None:
    net, names = Network(seed=17), [f"m{one}" for one in range(6)]
    net.group(6)
    net.run_until(net.agree, 20)
    ring = two_keys(names, ["m2"])
    del ring.keys["m2"]["k1"]
    for node in net.living():
        if node.name != "m2":
            node.group.reconfigure(net.now, node.group.options, node.group.signer, ring)
    others = [one for one in names if one != "m2"]
    lost = net.run_until(lambda: all(net.status(one, "m2") is Status.DEAD for one in others), 90)
    assert lost is not None
    assert any(net.nodes[one].group.counts["datagrams_unknown_key"] for one in others)
    hand = QuickHand("k2", secret_of("m2", "k2"))
    net.nodes["m2"].group.reconfigure(net.now, net.nodes["m2"].group.options, hand, ring)
    assert net.run_until(net.agree, 60) is not None


def test_state_of_removed_members_keys_and_engines_is_dropped() -> None:
    net, names = Network(seed=18), [f"m{one}" for one in range(5)]
    net.group(5)
    net.run_until(net.agree, 20)
    see(net, failing={"e1"})
    net.run(5)
    left = quick_keyring(names[:3])
    for name in names[3:]:
        net.kill(name)
    group = net.nodes["m0"].group
    group.reconfigure(net.now, group.options, group.signer, left)
    group.update_engine_list(net.now, {"e2"}, set())
    net.run(11)
    assert set(group.member_list.members) == {"m1", "m2"}
    assert set(group.failure_reports.reporters) <= {"m1", "m2"} and set(group.replay.senders) <= {"m1", "m2"}
    assert set(group.failure_reports.observations.engines) <= {"e2"}
    assert all(mark[0] in ("m0", "m1", "m2") for mark in group._verified_signatures)
