"""Gossip groups under lying members, network faults, restarts and key changes, in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import pytest

from micahold.laboratory import liars
from micahold.laboratory.gossip_network import (
    KeyedHashSigner,
    Network,
    Node,
    derive_secret,
    keyed_hash_keyring,
)
from micahold.membership.group import Datagram, Group
from micahold.membership.keyring import Keyring, PublicKey
from micahold.membership.member_list import Status

ENGINES = {f"e{one}" for one in range(16)}


def send_attempts(
    network: Network,
    failing: set[str] = frozenset(),  # type: ignore[assignment]
    each: int = 2,
    only: set[str] | None = None,
) -> None:
    """Make every member send ``each`` attempts to all engines twice a second from now on.

    Attempts on the engines in ``failing`` fail; with ``only``, no other members send attempts.
    """

    def send_to_all_engines() -> None:
        for node in network.live_nodes():
            if only is None or node.name in only:
                for engine in sorted(ENGINES):
                    for _ in range(each):
                        node.group.record_attempt(
                            network.now + node.clock_offset_s, engine, engine in failing
                        )
        network.call_at(network.now + 0.5, send_to_all_engines)

    for node in network.live_nodes():
        node.group.update_engine_list(network.now + node.clock_offset_s, ENGINES, set())
    send_to_all_engines()


def network_with_liars(number: int, kind: type[Group], members: int = 10, **options: Any) -> Network:
    """Return a converged network in which the last ``number`` of the members are of class ``kind``."""
    network = Network(seed=11, **options)
    first_liar = members - number
    network.start_group(members, lambda name: kind if int(name[1:]) >= first_liar else Group)
    assert network.run_until(network.is_converged, 20) is not None
    return network


def honest(network: Network) -> list[Node]:
    return [node for node in network.live_nodes() if type(node.group) is Group]


def engines_in_any_view(
    network: Network, seconds: float, view: Callable[[Group], frozenset[str]]
) -> set[str]:
    """Return all engines that ``view`` gave for any honest member within that time."""
    seen: set[str] = set()
    end = network.now + seconds
    while network.now < end:
        network.run(0.2)
        for node in honest(network):
            seen |= view(node.group)
    return seen


def within_the_send_rate(network: Network) -> bool:
    return all(
        sent_bytes <= node.group.options.rate
        for node in honest(network)
        for second, sent_bytes in node.bytes_sent_by_second.items()
    )


# Lying members


@pytest.mark.parametrize("number", [1, 2, 3])
def test_false_failure_reports_of_up_to_three_of_ten_members_have_no_effect(number: int) -> None:
    network = network_with_liars(number, liars.FalseFailureReporter)
    send_attempts(network)
    assert not engines_in_any_view(network, 20, lambda group: group.snapshot.failing)
    for node in honest(network):
        for liar in (member for member in network.live_nodes() if member not in honest(network)):
            reporter = node.group.failure_reports.reporters.get(liar.name)
            assert reporter is None or reporter.credibility_at(network.now + node.clock_offset_s) < 0.5
    assert within_the_send_rate(network)


def test_three_colluding_liars_do_not_convince_members_without_own_attempts() -> None:
    network = network_with_liars(3, liars.FalseFailureReporter)
    send_attempts(network, only={"m1"})
    assert not engines_in_any_view(network, 10, lambda group: group.snapshot.failing)


def test_true_engine_failure_reaches_members_without_own_attempts() -> None:
    network = network_with_liars(1, liars.FalseHealthReporter)
    send_attempts(network, failing={"e3"}, only={"m0", "m1", "m2", "m3", "m4"})
    failing = engines_in_any_view(network, 5, lambda group: group.snapshot.failing)
    assert failing == {"e3"}
    assert all("e3" in node.group.snapshot.failing for node in honest(network))


def test_member_that_reports_a_failing_engine_healthy_loses_credit() -> None:
    network = network_with_liars(1, liars.FalseHealthReporter)
    send_attempts(network, failing={"e3"})
    network.run(10)
    for node in honest(network):
        assert "e3" in node.group.snapshot.failing
        assert node.group.failure_reports.reporters["m9"].credibility_at(network.now) < 0.5


def test_equivocation_is_proven_to_all_members_and_the_liar_is_ignored() -> None:
    network = network_with_liars(1, liars.Equivocator)
    send_attempts(network, only={"m1", "m8"})
    network.run(15)
    assert all("m9" in node.group.failure_reports.equivocations for node in honest(network))
    assert not any("m9" in node.group.failure_reports.reporters for node in honest(network))
    assert not [node for node in honest(network) if set(node.group.failure_reports.equivocations) - {"m9"}]


def test_false_drain_reports_of_one_member_have_no_effect() -> None:
    network = network_with_liars(1, liars.FalseDrainReporter)
    send_attempts(network)
    assert not engines_in_any_view(network, 10, lambda group: group.snapshot.draining)


def test_false_drain_reports_of_three_members_affect_few_engines_for_a_short_time() -> None:
    network = network_with_liars(3, liars.FalseDrainReporter)
    send_attempts(network)
    assert len(engines_in_any_view(network, 2, lambda group: group.snapshot.draining)) <= len(ENGINES) // 8
    network.run(4)
    assert not engines_in_any_view(network, 30, lambda group: group.snapshot.draining)


def test_member_that_suspects_everybody_causes_no_false_death_and_loses_trust() -> None:
    network = network_with_liars(1, liars.FalseSuspicionReporter)
    network.run(60)
    assert network.false_deaths() == 0
    assert not any(
        node.group.member_list.is_credible(network.now, "m9") for node in honest(network) if node.name != "m9"
    )
    assert within_the_send_rate(network)


def test_flooding_member_exhausts_only_its_own_share_of_the_receive_rate() -> None:
    network = network_with_liars(1, liars.Flooder, loss_probability=0.0)
    network.run(20)
    victim = network.nodes["m0"].group
    assert victim.counts["datagrams_over_rate"] > 1000  # dropped before any signature was checked
    assert victim.counts["signatures_checked"] < 25 * victim.options.rate_in / 800
    assert network.false_deaths() == 0
    assert all(
        network.status("m0", node.name) is Status.ALIVE for node in honest(network) if node.name != "m0"
    )


# Replays and network faults


def test_replayed_datagrams_are_dropped_without_verifying_signatures() -> None:
    network, recorded = Network(seed=2), list[tuple[str, Datagram]]()

    def record(sender: str, datagram: Datagram) -> list[Datagram]:
        recorded.append((sender, datagram))
        return [datagram]

    network.datagram_filter = record
    network.start_group(4)
    network.run(10)
    group = network.nodes["m0"].group
    members_before, signatures_checked = dict(group.member_list.members), group.counts["signatures_checked"]
    sent_to_m0 = [entry for entry in recorded if entry[1].address == network.nodes["m0"].address]
    for index, (sender, datagram) in enumerate(sent_to_m0):
        group.receive(network.now + 3600 + index, datagram.data, network.nodes[sender].address)
    assert group.counts["datagrams_time"] == len(sent_to_m0) > 20
    assert group.counts["signatures_checked"] == signatures_checked
    assert group.member_list.members == members_before
    for sender, datagram in sent_to_m0[-20:]:
        group.receive(network.now, datagram.data, network.nodes[sender].address)
    assert group.counts["datagrams_repeated"] == 20


def test_corrupted_datagrams_cause_no_false_death_and_no_unknown_members() -> None:
    network = Network(seed=5)

    def flip_random_bit(sender: str, datagram: Datagram) -> list[Datagram]:
        if network.random.random() < 0.3:
            data = bytearray(datagram.data)
            data[network.random.randrange(len(data))] ^= 1 << network.random.randrange(8)
            return [Datagram(datagram.address, bytes(data))]
        return [datagram]

    network.datagram_filter = flip_random_bit
    network.start_group(6)
    assert network.run_until(network.is_converged, 30) is not None
    network.run(30)
    assert network.false_deaths() == 0
    for node in network.live_nodes():
        rejected = sum(
            node.group.counts[f"datagrams_{why}"] for why in ("unreadable", "unknown_member", "unknown_key")
        )
        assert rejected + node.group.counts["statements_bad_signature"] > 0
        assert set(node.group.member_list.members) == {f"m{number}" for number in range(6)} - {node.name}


def test_death_is_detected_despite_members_that_relay_nothing_reordering_and_duplicates() -> None:
    network = network_with_liars(
        4, liars.NonForwardingMember, delay_range_s=(0.001, 0.3), duplicate_probability=0.3
    )
    network.kill("m0")
    detection_s = network.run_until(
        lambda: all(network.status(node.name, "m0") is Status.DEAD for node in network.live_nodes()), 60
    )
    assert detection_s is not None
    assert network.false_deaths() == 0


def test_one_way_link_failure_causes_no_false_death() -> None:
    network = Network(seed=6)
    network.start_group(8)
    network.run_until(network.is_converged, 20)
    network.cut_links(["m0"], ["m1", "m2"], one_way=True)
    network.run(90)
    assert network.false_deaths() == 0


@pytest.mark.parametrize("smaller_side", [5, 2])
def test_partition_never_lowers_the_size_bound_and_heals(smaller_side: int) -> None:
    network = Network(seed=8)
    network.start_group(10, configured_gateways=10)
    network.run_until(network.is_converged, 20)
    one_side = [f"m{number}" for number in range(smaller_side)]
    other_side = [f"m{number}" for number in range(smaller_side, 10)]
    network.cut_links(one_side, other_side)
    network.run(60)
    for node in network.live_nodes():
        side_size = len(one_side) if node.name in one_side else len(other_side)
        assert node.group.snapshot.gateways.upper_bound == 10
        # In a partition of two all probes fail; the bad local health score then delays death declarations.
        assert side_size <= node.group.snapshot.gateways.live <= (side_size if side_size > 2 else 4)
    network.restore_links()
    assert network.run_until(network.is_converged, 60) is not None
    network.run(1)
    assert all(node.group.snapshot.gateways.live == 10 for node in network.live_nodes())
    deaths = network.false_deaths()
    network.run(60)
    assert network.false_deaths() == deaths


# Slow, dead, joining and restarted members


def test_stalled_member_and_slow_member_are_not_declared_dead() -> None:
    network = Network(seed=9)
    network.start_group(10)
    network.run_until(network.is_converged, 20)
    network.nodes["m3"].handling_time_s = 0.02
    for _ in range(10):
        network.stall("m5", 2.0)
        network.run(12)
    assert network.false_deaths() == 0


def test_member_declares_nobody_dead_after_its_own_stall() -> None:
    network = Network(seed=9)
    network.start_group(10)
    network.run_until(network.is_converged, 20)
    network.stall("m5", 8.0)
    network.run(20)
    assert network.nodes["m5"].group.counts["stalls"] >= 1
    assert not [change for _, change in network.nodes["m5"].status_changes if change.after is Status.DEAD]


def test_hundred_members_joining_within_a_second_converge() -> None:
    network, names = Network(seed=10), [f"m{number}" for number in range(100)]
    keyring = keyed_hash_keyring(names)
    for index, name in enumerate(names):
        network.call_at(
            network.now + index / 100, partial(network.start_member, name, keyring, [("10.0.0.0", 7946)])
        )
    convergence_s = network.run_until(lambda: len(network.nodes) == 100 and network.is_converged(), 40, 1.0)
    assert convergence_s is not None
    assert network.false_deaths() == 0
    assert within_the_send_rate(network)


def test_simultaneous_restart_of_all_members_converges() -> None:
    network = Network(seed=12)
    network.start_group(10)
    network.run_until(network.is_converged, 20)
    keyring = keyed_hash_keyring([f"m{number}" for number in range(10)])
    for node in list(network.nodes.values()):
        network.start_member(node.name, keyring, [("10.0.0.0", 7946)])
    assert network.run_until(network.is_converged, 20) is not None
    network.run(30)
    assert network.false_deaths() == 0


def test_restarted_members_learn_of_one_that_kept_running_without_exchanges() -> None:
    """The running member's pings must carry its record.

    A restarted member has no address to answer to without that record. The running member regarded them as
    introduced already, left its record out, and its pings stayed unanswered.
    """
    network = Network(seed=12)
    network.start_group(3, rate=2000)
    network.run_until(network.is_converged, 20)
    keyring = keyed_hash_keyring(["m0", "m1", "m2"])
    for name in ("m0", "m2"):
        network.start_member(name, keyring, [("10.0.0.0", 7946), ("10.0.0.2", 7946)], rate=2000)
    for node in network.live_nodes():
        node.group.begin_exchange = lambda now, name: None  # type: ignore[method-assign]
    assert network.run_until(network.is_converged, 30) is not None


def test_member_restarted_with_its_clock_set_back_rejoins() -> None:
    network = Network(seed=12)
    network.start_group(5)
    network.run_until(network.is_converged, 20)
    keyring = keyed_hash_keyring([f"m{number}" for number in range(5)])
    network.kill("m2")
    network.run(1)
    network.start_member("m2", keyring, [("10.0.0.0", 7946)], clock_offset_s=-20.0)
    assert network.run_until(network.is_converged, 150, 1.0) is not None


def test_group_keeps_running_after_its_only_seed_has_died() -> None:
    network = Network(seed=13)
    network.start_group(8)
    network.run_until(network.is_converged, 20)
    network.kill("m0")  # the only seed
    network.run(60)
    survivors = [f"m{number}" for number in range(1, 8)]
    assert all(
        network.status(viewer, other) is Status.ALIVE
        for viewer in survivors
        for other in survivors
        if viewer != other
    )
    assert all(network.status(viewer, "m0") is Status.DEAD for viewer in survivors)


def test_leave_lowers_the_size_bound_at_once_and_death_does_not() -> None:
    network = Network(seed=14)
    network.start_group(6, configured_gateways=6)
    network.run_until(network.is_converged, 20)
    network.nodes["m5"].group.leave(network.now)
    network._process_output(network.nodes["m5"])
    network.run(2)
    network.kill("m5")
    network.kill("m4")
    network.run(60)
    assert {
        (node.group.snapshot.gateways.upper_bound, node.group.snapshot.gateways.live)
        for node in network.live_nodes()
    } == {(5, 4)}
    assert not [change for node in network.live_nodes() for _, change in node.status_changes
                if change.name == "m5" and change.after in (Status.SUSPECT, Status.DEAD)]  # fmt: skip


def test_clocks_thirty_seconds_apart_are_tolerated() -> None:
    network, names = Network(seed=15), [f"m{number}" for number in range(6)]
    keyring = keyed_hash_keyring(names)
    for index, name in enumerate(names):
        network.start_member(name, keyring, [("10.0.0.0", 7946)], clock_offset_s=-15.0 + 6.0 * index)
    assert network.run_until(network.is_converged, 30) is not None
    send_attempts(network, failing={"e1"})
    network.run(6)
    assert all("e1" in node.group.snapshot.failing for node in network.live_nodes())
    assert network.false_deaths() == 0


# Keys


def two_keys(names: list[str], with_second_key: list[str], old: str = "k1") -> Keyring:
    """Return a keyring with key ``old`` for all names and a second key, k2, for those in ``both``."""
    keyring = keyed_hash_keyring(names, [old])
    for name in with_second_key:
        keyring.keys[name]["k2"] = PublicKey(name, "k2", derive_secret(name, "k2"))
    return keyring


def test_key_rotation_loses_no_member() -> None:
    network, names = Network(seed=16), [f"m{number}" for number in range(6)]
    network.start_group(6)
    network.run_until(network.is_converged, 20)
    for keyring in (two_keys(names, ["m2"]), two_keys(names, ["m2"])):
        for node in network.live_nodes():
            signer = (
                KeyedHashSigner("k2", derive_secret("m2", "k2")) if node.name == "m2" else node.group.signer
            )
            node.group.reconfigure(network.now, node.group.options, signer, keyring)
            network.run(0.5)
    network.run(20)
    keyring_without_old_key = two_keys(names, ["m2"])
    del keyring_without_old_key.keys["m2"]["k1"]
    for node in network.live_nodes():
        node.group.reconfigure(network.now, node.group.options, node.group.signer, keyring_without_old_key)
    network.run(60)
    assert network.false_deaths() == 0 and network.is_converged()


def test_member_with_retired_key_is_declared_dead_and_rejoins_with_valid_key() -> None:
    network, names = Network(seed=17), [f"m{number}" for number in range(6)]
    network.start_group(6)
    network.run_until(network.is_converged, 20)
    keyring = two_keys(names, ["m2"])
    del keyring.keys["m2"]["k1"]
    for node in network.live_nodes():
        if node.name != "m2":
            node.group.reconfigure(network.now, node.group.options, node.group.signer, keyring)
    others = [member for member in names if member != "m2"]
    detection_s = network.run_until(
        lambda: all(network.status(member, "m2") is Status.DEAD for member in others), 90
    )
    assert detection_s is not None
    assert any(network.nodes[member].group.counts["datagrams_unknown_key"] for member in others)
    signer = KeyedHashSigner("k2", derive_secret("m2", "k2"))
    network.nodes["m2"].group.reconfigure(network.now, network.nodes["m2"].group.options, signer, keyring)
    assert network.run_until(network.is_converged, 60) is not None


def test_state_of_removed_members_keys_and_engines_is_dropped() -> None:
    network, names = Network(seed=18), [f"m{number}" for number in range(5)]
    network.start_group(5)
    network.run_until(network.is_converged, 20)
    send_attempts(network, failing={"e1"})
    network.run(5)
    remaining_keyring = keyed_hash_keyring(names[:3])
    for name in names[3:]:
        network.kill(name)
    group = network.nodes["m0"].group
    group.reconfigure(network.now, group.options, group.signer, remaining_keyring)
    group.update_engine_list(network.now, {"e2"}, set())
    network.run(11)
    assert set(group.member_list.members) == {"m1", "m2"}
    assert set(group.failure_reports.reporters) <= {"m1", "m2"} and set(group.replay.senders) <= {"m1", "m2"}
    assert set(group.failure_reports.observations.engines) <= {"e2"}
    assert all(signature_key[0] in ("m0", "m1", "m2") for signature_key in group._verified_signatures)


@pytest.mark.parametrize("step_s", [3.0, -3.0, 20.0, -20.0])
def test_step_of_a_members_wall_clock_within_the_clock_error_makes_nobody_suspected(step_s: float) -> None:
    network = network_with_liars(0, Group, members=5)
    stepped = network.nodes["m0"]
    due_before = stepped.group.due()
    stepped.group.unix_offset_s += step_s
    assert stepped.group.due() == due_before  # no timer moves with the wall clock
    network.run(15.0)
    for node in network.live_nodes():
        assert {member.status for member in node.group.member_list} <= {Status.ALIVE}


def test_member_whose_clock_is_off_by_an_hour_is_heard_again_once_it_is_set_right() -> None:
    """Its packets are rejected by their time until then."""
    network = network_with_liars(0, Group, members=5)
    stepped, other = network.nodes["m0"], network.nodes["m1"]
    stepped.group.unix_offset_s += 3600.0
    network.run(5.0)
    assert other.group.counts["datagrams_time"] > 0
    stepped.group.unix_offset_s -= 3600.0
    assert network.run_until(network.is_converged, 60) is not None
