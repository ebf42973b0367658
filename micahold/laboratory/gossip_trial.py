"""The gossip experiment: detection, traffic, false deaths, lying members and the benefit of peer reports.

All runs are seeded simulations in virtual time; only ``cpu_table`` measures real time, that of the CPU. The
results are tables of text.
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
from micahold.laboratory.peer_report_model import COMPARED_RULES, PEER_REPORTS_RULE, Fleet
from micahold.membership.keyring import Keyring
from micahold.membership.member_list import Status
from micahold.membership.signing import Ed25519Signer, Ed25519Verifier, generate_key

IDLE_S = 10.0  # for a group to settle, and for the measurement of its traffic without failures


@dataclass(slots=True)
class Table:
    """A table to print: title, column headings, rows of formatted figures, and a note on how to read them."""

    title: str
    headings: list[str]
    rows: list[list[str]]
    note: str = ""


def _percentiles(values: Iterable[float]) -> str:
    """Median and 99th percentile as text, or a dash if there are no values."""
    samples = np.array(list(values), dtype=float)
    if not samples.size:
        return "-"
    return f"{np.median(samples):.2f} / {np.percentile(samples, 99):.2f}"


# Detection and traffic


def measure_detection(members: int, seed: int, kills: int) -> dict[str, Any]:
    """Kill ``kills`` members, one after the other, and measure detection times and traffic of one group.

    For each kill: seconds (which equal probe periods) until the first member suspects the killed one, until
    all do, and until all have declared it dead. Idle traffic is in bytes per second of each member; peak
    traffic is the most bytes that any member sent within one second.
    """
    network = Network(seed=seed)
    network.start_group(members, converged=True)
    network.run(IDLE_S)
    idle_from = int(network.now)
    network.run(IDLE_S)
    idle_bytes_per_s = [
        sum(node.bytes_sent_by_second[idle_from + second] for second in range(10)) / 10
        for node in network.live_nodes()
    ]
    first_suspected_s: list[float] = []
    all_suspected_s: list[float] = []
    all_dead_s: list[float] = []
    live_count = members
    for kill in range(kills):
        victim = f"m{(7 * kill + 3) % members}"
        network.run(network.random.random())
        network.kill(victim)
        live_count -= 1

        def has_status(node: Node, statuses: tuple[Status, ...], victim: str = victim) -> bool:
            member = node.group.member_list.members.get(victim)
            return member is not None and member.status in statuses

        suspect_or_dead, dead = (Status.SUSPECT, Status.DEAD), (Status.DEAD,)
        step = 0.05
        killed_at, suspecting = network.now, 0
        while network.now < killed_at + 120.0:
            network.run(step)
            elapsed_s = network.now - killed_at
            suspecting = sum(has_status(node, suspect_or_dead) for node in network.live_nodes())
            if suspecting and len(first_suspected_s) == kill:
                first_suspected_s.append(elapsed_s)
            if suspecting == live_count and len(all_suspected_s) == kill:
                all_suspected_s.append(elapsed_s)
                step = 0.5
            if len(all_suspected_s) > kill and all(has_status(node, dead) for node in network.live_nodes()):
                all_dead_s.append(elapsed_s)
                break
    peak_bytes = max(max(node.bytes_sent_by_second.values(), default=0) for node in network.nodes.values())
    return {
        "first_suspected_s": first_suspected_s,
        "all_suspected_s": all_suspected_s,
        "all_dead_s": all_dead_s,
        "idle_bytes_per_s": idle_bytes_per_s,
        "peak_bytes": peak_bytes,
        "false_deaths": network.false_deaths(),
    }


def detection_table(seeds: list[int], sizes: tuple[int, ...], pool: ProcessPoolExecutor) -> Table:
    """Detection times and traffic by group size; fewer members are killed in groups of more than 200."""
    jobs = {
        size: [pool.submit(measure_detection, size, seed, 12 if size <= 200 else 2) for seed in seeds]
        for size in sizes
    }
    rows = []
    for size, runs in jobs.items():
        results = [run.result() for run in runs]
        idle_bytes_per_s = [figure for result in results for figure in result["idle_bytes_per_s"]]
        rows.append(
            [
                str(size),
                _percentiles(value for result in results for value in result["first_suspected_s"]),
                _percentiles(value for result in results for value in result["all_suspected_s"]),
                _percentiles(value for result in results for value in result["all_dead_s"]),
                f"{np.mean(idle_bytes_per_s):.0f}",
                str(max(result["peak_bytes"] for result in results)),
                str(sum(result["false_deaths"] for result in results)),
            ]
        )
    headings = [
        "members",
        "first suspects",
        "all suspect",
        "all have buried",
        "bytes/s at rest",
        "most bytes in 1 s",
        "wrong deaths",
    ]
    return Table("Detection of a killed member (periods, median / 99th) and traffic", headings, rows)


# False deaths


def count_false_deaths(
    kind: str, lifeguard: bool, seed: int, members: int = 50, seconds: float = 600.0
) -> tuple[int, int]:
    """Count live members declared dead, over all members' lists, under the fault that ``kind`` names.

    Return the count of all, and of those that do not stall themselves.
    """
    loss = {"5 in 100 lost": 0.05, "20 in 100 lost": 0.2}.get(kind, 0.0)
    network = Network(seed=seed, loss_probability=loss)
    network.start_group(members, converged=True, lifeguard=lifeguard)
    max_stall_s = {"5 still for up to 4 s": 4.0, "5 still for up to 10 s": 10.0}.get(kind, 0.0)
    stalling = {f"m{index}" for index in range(5)} if max_stall_s else set()

    def stall_repeatedly(name: str) -> None:
        network.stall(name, network.random.uniform(0.5, max_stall_s))
        network.call_at(
            network.now + network.random.uniform(max_stall_s + 0.5, 2 * max_stall_s), stall_repeatedly, name
        )

    for name in sorted(stalling):
        network.call_at(network.now + network.random.uniform(0.0, 5.0), stall_repeatedly, name)
    network.run(seconds)
    false_deaths = [
        change.name
        for node in network.nodes.values()
        for _, change in node.status_changes
        if change.after is Status.DEAD
    ]
    return len(false_deaths), sum(name not in stalling for name in false_deaths)


def false_deaths_table(seeds: list[int], pool: ProcessPoolExecutor) -> Table:
    """False deaths by fault, with Lifeguard and with plain SWIM."""
    rows = []
    kinds = ("5 in 100 lost", "20 in 100 lost", "5 still for up to 4 s", "5 still for up to 10 s")
    jobs = {
        (kind, lifeguard): [pool.submit(count_false_deaths, kind, lifeguard, seed) for seed in seeds]
        for kind in kinds
        for lifeguard in (True, False)
    }
    for kind in kinds:
        with_lifeguard, without = (
            [sum(run.result()[index] for run in jobs[kind, lifeguard]) for index in (0, 1)]
            for lifeguard in (True, False)
        )
        ratio = f"{without[0] / with_lifeguard[0]:.0f}" if with_lifeguard[0] else f"none of {without[0]}"
        rows.append(
            [kind, f"{with_lifeguard[0]} ({with_lifeguard[1]})", f"{without[0]} ({without[1]})", ratio]
        )
    headings = ["50 members, 600 s", "wrong deaths, Lifeguard on", "off", "times fewer"]
    note = "In brackets: of members that never stood still. The five do for 0.5 s and more, again and again."
    return Table("Members buried though they live, in all views", headings, rows, note)


# Lying members


def measure_false_reports(liar_count: int, rule: str, seed: int) -> dict[str, float]:
    """Run ten gateways for 30 s, of which ``liar_count`` report every engine as failing.

    All engines are healthy and fail one attempt in 200 at random.
    """
    fleet = Fleet(
        rule, seed, liar_count=liar_count, liar_factory=liars.FalseFailureReporter, error_probability=0.005
    )
    metrics = fleet.measure(30.0)
    return {
        "quarantined_healthy": len(metrics.quarantined_healthy),
        "healthy_quarantine_s": metrics.healthy_quarantine_s,
        "refused_percent": 100 * metrics.refused_or_failed / max(1, metrics.queries),
        "false_report_s": metrics.false_report_s / len(fleet.gateways),
        "last_false_report_s": metrics.last_false_report_s,
    }


def false_reports_table(seeds: list[int], pool: ProcessPoolExecutor) -> Table:
    """Effect of up to four lying members of ten on healthy engines, under each rule."""
    jobs = {
        (liar_count, rule): [pool.submit(measure_false_reports, liar_count, rule, seed) for seed in seeds]
        for liar_count in range(5)
        for rule in COMPARED_RULES
    }
    rows = []
    for (liar_count, rule), runs in jobs.items():
        results = [run.result() for run in runs]
        mean = {name: float(np.mean([result[name] for result in results])) for name in results[0]}
        rows.append(
            [
                str(liar_count),
                rule,
                f"{mean['quarantined_healthy']:.1f}",
                f"{mean['healthy_quarantine_s']:.1f}",
                f"{mean['refused_percent']:.2f}",
                f"{mean['false_report_s']:.2f}" if rule == PEER_REPORTS_RULE else "-",
                f"{mean['last_false_report_s']:.1f}" if rule == PEER_REPORTS_RULE else "-",
            ]
        )
    headings = [
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
        "Healthy engines shunned (pairs of gateway and engine, of 16 engines) within 30 s",
        headings,
        rows,
        note,
    )


# Benefit of peer reports


def measure_failing_engine(rule: str, liar_count: int, seed: int) -> dict[str, float]:
    """Run ten gateways and sixteen engines, of which one fails fast from 10 s on, for 20 s."""
    fleet = Fleet(rule, seed, liar_count=liar_count, liar_factory=liars.FalseFailureReporter)
    fleet.network.run(10.0)
    fleet.failing_engine = "e3"
    metrics = fleet.measure(20.0)
    gateways = len(fleet.gateways)
    return {
        "errors_before_all_quarantined": metrics.errors_before_all_quarantined / gateways,
        "errors": metrics.failing_engine_errors / gateways,
        "all_quarantined_s": metrics.all_quarantined_s if metrics.all_quarantined_s is not None else 20.0,
        "refused_percent": 100 * metrics.refused_or_failed / max(1, metrics.queries),
        "quarantined_healthy": len(metrics.quarantined_healthy),
    }


def failing_engine_table(seeds: list[int], pool: ProcessPoolExecutor) -> Table:
    """Failed attempts on a failing engine under each rule, with no and with one lying member.

    The difference from the rule "alone" pairs runs of the same seed; its margin is the 95 % confidence
    interval by Student's t.
    """
    jobs = {
        (rule, liar_count): [pool.submit(measure_failing_engine, rule, liar_count, seed) for seed in seeds]
        for rule in COMPARED_RULES
        for liar_count in (0, 1)
    }
    baseline = [run.result()["errors"] for run in jobs["alone", 0]]
    rows = []
    for (rule, liar_count), runs in jobs.items():
        results = [run.result() for run in runs]
        mean = {name: float(np.mean([result[name] for result in results])) for name in results[0]}
        differences = np.array([result["errors"] for result in results]) - np.array(baseline)
        margin = float(stats.t.ppf(0.975, len(differences) - 1) * stats.sem(differences))
        rows.append(
            [
                rule,
                str(liar_count),
                f"{mean['errors_before_all_quarantined']:.2f}",
                f"{mean['all_quarantined_s']:.2f}",
                f"{mean['errors']:.2f}",
                f"{float(np.mean(differences)):+.2f} +- {margin:.2f}",
                f"{mean['refused_percent']:.2f}",
                f"{mean['quarantined_healthy']:.1f}",
            ]
        )
    headings = [
        "rule",
        "liars",
        "lost until all knew",
        "s until all knew",
        "lost in 20 s",
        "against alone (95 in 100)",
        "refused in 100",
        "healthy shunned",
    ]
    return Table("An engine of 16 fails fast: attempts that it spoils, each gateway of ten", headings, rows)


# CPU time


def cpu_table(members: int = 20, seconds: float = 30.0, seed: int = 1) -> Table:
    """CPU time of an idle group with Ed25519 signatures.

    All members run in this process, and the time includes the simulated network.
    """
    names = [f"m{index}" for index in range(members)]
    keys = {name: generate_key("k1") for name in names}
    network = Network(seed=seed)
    keyring = Keyring([keys[name].public_key(name) for name in names], Ed25519Verifier())
    for name in names:
        network.start_member(name, keyring, [("10.0.0.0", 7946)], signer=Ed25519Signer([keys[name]]))
    network.run(IDLE_S)
    checked_before = sum(node.group.counts["signatures_checked"] for node in network.live_nodes())
    started_at = time.process_time()
    network.run(seconds)
    cpu_s = time.process_time() - started_at
    checked = sum(node.group.counts["signatures_checked"] for node in network.live_nodes()) - checked_before
    cpu_ms_per_s = 1000 * cpu_s / members / seconds
    rows = [[str(members), f"{cpu_ms_per_s:.2f}", f"{checked / members / seconds:.1f}"]]
    headings = ["members", "ms CPU a second, each member", "signatures checked a second"]
    return Table(
        "CPU with Ed25519, at rest (this machine, once: no figure to compare machines by)", headings, rows
    )


def run_all(
    seeds: list[int], sizes: tuple[int, ...], processes: int, on_table: Callable[[Table], None]
) -> list[Table]:
    """Run all parts of the experiment and return their tables, each passed to ``on_table`` once complete.

    The detection uses the first four seeds only.
    """
    tables: list[Table] = []
    with ProcessPoolExecutor(processes) as pool:
        parts: list[Callable[[], Table]] = [
            lambda: failing_engine_table(seeds, pool),
            lambda: false_reports_table(seeds, pool),
            lambda: false_deaths_table(seeds, pool),
            lambda: detection_table(seeds[:4], sizes, pool),
            lambda: cpu_table(),
        ]
        for run_part in parts:
            tables.append(run_part())
            on_table(tables[-1])
    return tables
