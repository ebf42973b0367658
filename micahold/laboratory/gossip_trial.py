"""The figures of gossip: detection, traffic, false deaths, liars, and what it is for. All seeded, in
virtual time.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import Any

import numpy as np
from scipy import stats

from micahold.laboratory import liars
from micahold.laboratory.gossip_network import Network, Node
from micahold.laboratory.peer_report_model import HEARSAY, RULES_COMPARED, Fleet
from micahold.membership.keyring import Keyring
from micahold.membership.member_list import Status
from micahold.membership.signing import Ed25519Signer, Ed25519Verifier, generate_key

REST_S = 10.0


@dataclass(slots=True)
class Table:
    """A title, heads of columns, rows of figures ready to print, and what has to be said beside them."""

    title: str
    headings: list[str]
    rows: list[list[str]]
    note: str = ""


def _quantiles(values: Iterable[float]) -> str:
    """Median and 99th percentile."""
    known = np.array(list(values), dtype=float)
    if not known.size:
        return "-"
    return f"{np.median(known):.2f} / {np.percentile(known, 99):.2f}"


# Detection and traffic


def detect(members: int, seed: int, kills: int) -> dict[str, Any]:
    """Kill one member after the other; times in periods (of 1 s), bytes a second of each member at rest."""
    net = Network(seed=seed)
    net.start_group(members, converged=True)
    net.run(REST_S)
    begun = int(net.now)
    net.run(REST_S)
    at_rest = [sum(one.bytes_sent_by_second[begun + at] for at in range(10)) / 10 for one in net.live_nodes()]
    first: list[float] = []
    heard: list[float] = []
    buried: list[float] = []
    up = members
    for kill in range(kills):
        victim = f"m{(7 * kill + 3) % members}"
        net.run(net.random.random())
        net.kill(victim)
        up -= 1

        def knows(node: Node, wanted: tuple[Status, ...], victim: str = victim) -> bool:
            member = node.group.member_list.members.get(victim)
            return member is not None and member.status in wanted

        suspect, dead = (Status.SUSPECT, Status.DEAD), (Status.DEAD,)
        step = 0.05
        begun_at, seen = net.now, 0
        while net.now < begun_at + 120.0:
            net.run(step)
            passed = net.now - begun_at
            seen = sum(knows(one, suspect) for one in net.live_nodes())
            if seen and len(first) == kill:
                first.append(passed)
            if seen == up and len(heard) == kill:
                heard.append(passed)
                step = 0.5
            if len(heard) > kill and all(knows(one, dead) for one in net.live_nodes()):
                buried.append(passed)
                break
    peak = max(max(one.bytes_sent_by_second.values(), default=0) for one in net.nodes.values())
    return {
        "first": first,
        "heard": heard,
        "buried": buried,
        "rest": at_rest,
        "peak": peak,
        "wrong": net.false_deaths(),
    }


def detection(seeds: list[int], sizes: tuple[int, ...], pool: ProcessPoolExecutor) -> Table:
    jobs = {
        size: [pool.submit(detect, size, seed, 12 if size <= 200 else 2) for seed in seeds] for size in sizes
    }
    rows = []
    for size, runs in jobs.items():
        found = [one.result() for one in runs]
        rest = [figure for one in found for figure in one["rest"]]
        rows.append(
            [
                str(size),
                _quantiles(value for one in found for value in one["first"]),
                _quantiles(value for one in found for value in one["heard"]),
                _quantiles(value for one in found for value in one["buried"]),
                f"{np.mean(rest):.0f}",
                str(max(one["peak"] for one in found)),
                str(sum(one["wrong"] for one in found)),
            ]
        )
    heads = [
        "members",
        "first suspects",
        "all suspect",
        "all have buried",
        "bytes/s at rest",
        "most bytes in 1 s",
        "wrong deaths",
    ]
    return Table("Detection of a killed member (periods, median / 99th) and traffic", heads, rows)


# False deaths


def falsehoods(
    kind: str, lifeguard: bool, seed: int, members: int = 50, seconds: float = 600.0
) -> tuple[int, int]:
    """Members buried though they lived, in all views: all, and those that were not slow themselves."""
    loss = {"5 in 100 lost": 0.05, "20 in 100 lost": 0.2}.get(kind, 0.0)
    net = Network(seed=seed, loss_probability=loss)
    net.start_group(members, converged=True, lifeguard=lifeguard)
    longest = {"5 still for up to 4 s": 4.0, "5 still for up to 10 s": 10.0}.get(kind, 0.0)
    slow = {f"m{one}" for one in range(5)} if longest else set()

    def stand_still(name: str) -> None:
        net.stall(name, net.random.uniform(0.5, longest))
        net.call_at(net.now + net.random.uniform(longest + 0.5, 2 * longest), stand_still, name)

    for name in sorted(slow):
        net.call_at(net.now + net.random.uniform(0.0, 5.0), stand_still, name)
    net.run(seconds)
    wrong = [
        one.name for node in net.nodes.values() for _, one in node.status_changes if one.after is Status.DEAD
    ]
    return len(wrong), sum(name not in slow for name in wrong)


def false_deaths(seeds: list[int], pool: ProcessPoolExecutor) -> Table:
    rows = []
    kinds = ("5 in 100 lost", "20 in 100 lost", "5 still for up to 4 s", "5 still for up to 10 s")
    jobs = {
        (kind, on): [pool.submit(falsehoods, kind, on, seed) for seed in seeds]
        for kind in kinds
        for on in (True, False)
    }
    for kind in kinds:
        on, off = (
            [sum(one.result()[at] for one in jobs[kind, which]) for at in (0, 1)] for which in (True, False)
        )
        fewer = f"{off[0] / on[0]:.0f}" if on[0] else f"none of {off[0]}"
        rows.append([kind, f"{on[0]} ({on[1]})", f"{off[0]} ({off[1]})", fewer])
    heads = ["50 members, 600 s", "wrong deaths, Lifeguard on", "off", "times fewer"]
    note = "In brackets: of members that never stood still. The five do for 0.5 s and more, again and again."
    return Table("Members buried though they live, in all views", heads, rows, note)


# Liars


def slandered(number: int, rule: str, seed: int) -> dict[str, float]:
    """So many of ten call every engine failing for 30 s; healthy engines with one error in 200 attempts."""
    fleet = Fleet(rule, seed, liars=number, liar=liars.FalseFailureReporter, sporadic=0.005)
    tally = fleet.watch(30.0)
    return {
        "shunned": len(tally.shunned_healthy),
        "seconds": tally.shunned_s,
        "refused": 100 * tally.refused / max(1, tally.asked),
        "told": tally.told_s / len(fleet.gateways_),
        "lasts": tally.told_until,
    }


def liar_table(seeds: list[int], pool: ProcessPoolExecutor) -> Table:
    jobs = {
        (number, rule): [pool.submit(slandered, number, rule, seed) for seed in seeds]
        for number in range(5)
        for rule in RULES_COMPARED
    }
    rows = []
    for (number, rule), runs in jobs.items():
        found = [one.result() for one in runs]
        mean = {name: float(np.mean([one[name] for one in found])) for name in found[0]}
        rows.append(
            [
                str(number),
                rule,
                f"{mean['shunned']:.1f}",
                f"{mean['seconds']:.1f}",
                f"{mean['refused']:.2f}",
                f"{mean['told']:.2f}" if rule == HEARSAY else "-",
                f"{mean['lasts']:.1f}" if rule == HEARSAY else "-",
            ]
        )
    heads = [
        "liars of 10",
        "rule",
        "healthy engines shunned",
        "gateway-seconds",
        "refused in 100",
        "heard s, each gateway",
        "until s",
    ]
    note = (
        "Means a run. Engines fail one attempt in 200 at random: some are put on trial with no liar at all."
    )
    return Table(
        "Healthy engines shunned (pairs of gateway and engine, of 16 engines) within 30 s", heads, rows, note
    )


# What it is for


def failing_engine(rule: str, number: int, seed: int) -> dict[str, float]:
    """Ten gateways, sixteen engines; after 10 s one starts to fail fast, for 20 s."""
    fleet = Fleet(rule, seed, liars=number, liar=liars.FalseFailureReporter)
    fleet.net.run(10.0)
    fleet.failing = "e3"
    tally = fleet.watch(20.0)
    gateways = len(fleet.gateways_)
    return {
        "before": tally.lost_before_all / gateways,
        "all": tally.met_errors / gateways,
        "everybody": tally.everybody if tally.everybody is not None else 20.0,
        "refused": 100 * tally.refused / max(1, tally.asked),
        "shunned": len(tally.shunned_healthy),
    }


def purpose(seeds: list[int], pool: ProcessPoolExecutor) -> Table:
    jobs = {
        (rule, number): [pool.submit(failing_engine, rule, number, seed) for seed in seeds]
        for rule in RULES_COMPARED
        for number in (0, 1)
    }
    base = [one.result()["all"] for one in jobs["alone", 0]]
    rows = []
    for (rule, number), runs in jobs.items():
        found = [one.result() for one in runs]
        mean = {name: float(np.mean([one[name] for one in found])) for name in found[0]}
        apart = np.array([one["all"] for one in found]) - np.array(base)
        error = float(stats.t.ppf(0.975, len(apart) - 1) * stats.sem(apart))
        rows.append(
            [
                rule,
                str(number),
                f"{mean['before']:.2f}",
                f"{mean['everybody']:.2f}",
                f"{mean['all']:.2f}",
                f"{float(np.mean(apart)):+.2f} +- {error:.2f}",
                f"{mean['refused']:.2f}",
                f"{mean['shunned']:.1f}",
            ]
        )
    heads = [
        "rule",
        "liars",
        "lost until all knew",
        "s until all knew",
        "lost in 20 s",
        "against alone (95 in 100)",
        "refused in 100",
        "healthy shunned",
    ]
    return Table("An engine of 16 fails fast: attempts that it spoils, each gateway of ten", heads, rows)


# CPU


def cpu(members: int = 20, seconds: float = 30.0, seed: int = 1) -> Table:
    """CPU with real signatures, all members in this process; the network in virtual time is part of it."""
    names = [f"m{one}" for one in range(members)]
    keys = {name: generate_key("k1") for name in names}
    net = Network(seed=seed)
    ring = Keyring([keys[name].public_key(name) for name in names], Ed25519Verifier())
    for name in names:
        net.start_member(name, ring, [("10.0.0.0", 7946)], signer=Ed25519Signer([keys[name]]))
    net.run(REST_S)
    counted = sum(node.group.counts["signatures_checked"] for node in net.live_nodes())
    begun = time.process_time()
    net.run(seconds)
    used = time.process_time() - begun
    checked = sum(node.group.counts["signatures_checked"] for node in net.live_nodes()) - counted
    each = 1000 * used / members / seconds
    rows = [[str(members), f"{each:.2f}", f"{checked / members / seconds:.1f}"]]
    heads = ["members", "ms CPU a second, each member", "signatures checked a second"]
    return Table(
        "CPU with Ed25519, at rest (this machine, once: no figure to compare machines by)", heads, rows
    )


def run_all(
    seeds: list[int], sizes: tuple[int, ...], processes: int, done: Callable[[Table], None]
) -> list[Table]:
    """All tables, each handed to ``done`` as it is ready."""
    tables: list[Table] = []
    with ProcessPoolExecutor(processes) as pool:
        parts: list[Callable[[], Table]] = [
            lambda: purpose(seeds, pool),
            lambda: liar_table(seeds, pool),
            lambda: false_deaths(seeds, pool),
            lambda: detection(seeds[:4], sizes, pool),
            lambda: cpu(),
        ]
        for part in parts:
            tables.append(part())
            done(tables[-1])
    return tables
