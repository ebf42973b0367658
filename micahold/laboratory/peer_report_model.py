"""A simulation of gateways that share engines, for the benefit of peer reports if an engine fails fast.

Each gateway has the real controller and the real group, connected by the real adapter, in virtual time.
Engines are simplified: they have enough cores and exponential service times, and the failing one returns an
error after a millisecond. Queries arrive at each gateway as a Poisson process and are safe to repeat. All
random numbers are seeded.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from micahold import interface as api
from micahold.controller import Controller
from micahold.laboratory.gossip_network import GroupFactory, Network, Node
from micahold.membership.controller_adapter import ControllerAdapter
from micahold.membership.failure_reports import Assessment, assess
from micahold.membership.group import Group

MEAN_SERVICE_TIME_S = 0.02
ERROR_RESPONSE_TIME_S = 0.001  # of an attempt on the failing engine
CLASSES = (
    api.QueryClass(
        "lookup",
        worth=1.0,
        soft_deadline_s=1.0,
        soft_deadline_stretch=2.0,
        deadline_s=5.0,
        late_worth_share=0.1,
    ),
)
LIMITS = api.Limits(
    cancel_allowed=True,
    retry_hints_allowed=True,
    max_attempts=4,
    max_open_queries=1000,
    max_retry_after_s=1.0,
)
RULES = api.Rules(retry_budget_floor=5.0, retry_budget_ratio=0.2, retry_window_s=10.0, answer_slack_s=0.02)
TICK_INTERVAL_S = 0.05
ADAPTER_POLL_INTERVAL_S = 0.1  # between updates of each controller with the group's conclusions

# The compared rules: own attempts only; peer reports with a quorum; any report of any peer at once.
OWN_ATTEMPTS_RULE = "alone"
PEER_REPORTS_RULE = "hearsay"
ANY_PEER_RULE = "any peer"
COMPARED_RULES = (OWN_ATTEMPTS_RULE, PEER_REPORTS_RULE, ANY_PEER_RULE)


@dataclass(slots=True)
class FleetMetrics:
    """Measurements of one run, over all gateways; errors of healthy engines are counted apart.

    Times are in seconds since the start of the measurement; gateway-seconds are summed over the gateways.
    """

    queries: int = 0
    successful_attempts: int = 0
    refused_or_failed: int = 0  # queries
    failing_engine_errors: int = 0  # attempts
    healthy_engine_errors: int = 0  # attempts
    quarantined_healthy: set[tuple[str, str]] = field(default_factory=set)  # gateway and engine, if ever
    healthy_quarantine_s: float = 0.0  # gateway-seconds, for each healthy engine in quarantine
    false_report_s: float = 0.0  # gateway-seconds in which the group called any healthy engine failing
    last_false_report_s: float = 0.0  # when the group last did so
    first_quarantine_s: float | None = None  # when the first gateway quarantined the failing engine
    all_quarantined_s: float | None = None  # when every gateway had quarantined it at least once
    errors_before_all_quarantined: int = 0  # attempts that failed on it until then


class Gateway:
    """One gateway: its controller, its group member, and the queries that arrive at it."""

    def __init__(self, fleet: Fleet, node: Node, index: int) -> None:
        self.fleet, self.node = fleet, node
        settings = api.Settings(
            gateway_index=index,
            gateway_count=fleet.gateway_count,
            zones=("a",),
            engine_kinds=(api.EngineKind("std", 16.0, 32000.0),),
            classes=CLASSES,
            tenants=(api.Tenant("one", 1.0),),
            limits=LIMITS,
            rules=RULES,
        )
        self.controller = Controller(settings, fleet.seed * 100 + index)
        self.adapter = ControllerAdapter(node.group, fleet.rule == PEER_REPORTS_RULE)
        self.random = Random(fleet.seed * 1000 + index)
        self.query_count = 0

    @property
    def now(self) -> float:
        """Time of the virtual clock, in Unix seconds."""
        return self.fleet.network.now

    def handle_events(self, *events: api.Event) -> None:
        """Pass events to the adapter and the controller, and carry out the controller's actions."""
        for event in events:
            self.adapter.handle_event(self.now, event)
        for action in self.controller.handle(self.now, list(events)):
            match action:
                case api.Send(query, engine):
                    self._send_attempt(query, engine)
                case api.Refuse() | api.Fail():
                    self.fleet.metrics.refused_or_failed += 1
                case api.SetTimer(timer, delay):
                    self.fleet.network.call_at(self.now + delay, self.handle_events, api.TimerFired(timer))
                case _:
                    pass

    def submit_query(self) -> None:
        """Submit a query to the controller and schedule the next one."""
        self.query_count += 1
        self.fleet.metrics.queries += 1
        event = api.QueryArrived(
            self.query_count,
            0,
            0,
            self.now + CLASSES[0].deadline_s,
            estimated_cost_s=MEAN_SERVICE_TIME_S,
            table_group=self.random.randrange(40),
        )
        self.fleet.network.call_at(
            self.now + self.random.expovariate(self.fleet.queries_per_s), self.submit_query
        )
        self.handle_events(event)

    def _send_attempt(self, query: int, engine: str) -> None:
        on_failing_engine = engine == self.fleet.failing_engine
        failed = on_failing_engine or self.random.random() < self.fleet.error_probability
        elapsed_s = (
            ERROR_RESPONSE_TIME_S if on_failing_engine else self.random.expovariate(1 / MEAN_SERVICE_TIME_S)
        )
        attempt = self.controller.queries[query].attempt_count - 1
        self.fleet.network.call_at(
            self.now + elapsed_s, self._end_attempt, query, attempt, engine, failed, elapsed_s
        )

    def _end_attempt(self, query: int, attempt: int, engine: str, failed: bool, elapsed_s: float) -> None:
        metrics = self.fleet.metrics
        if failed and engine == self.fleet.failing_engine:
            metrics.failing_engine_errors += 1
        else:
            metrics.healthy_engine_errors += failed
        metrics.successful_attempts += not failed
        outcome = api.Outcome.ERROR if failed else api.Outcome.OK
        self.handle_events(
            api.AttemptEnded(query, attempt, engine, outcome, elapsed_s, query_settled=not failed)
        )

    def poll_group(self) -> None:
        """Pass the group's current conclusions to the controller and schedule the next poll."""
        if self.fleet.rule == ANY_PEER_RULE:
            self._apply_any_peer_rule()
        events = self.adapter.take_events(self.now)
        if events:
            self.handle_events(*events)
        self.fleet.network.call_at(self.now + ADAPTER_POLL_INTERVAL_S, self.poll_group)

    def _apply_any_peer_rule(self) -> None:
        """Quarantine each engine that any member's recent report calls bad: the baseline without a quorum.

        Reports count for 6 s, as in the group (``MAX_REPORT_AGE_S``).
        """
        for reporter in self.node.group.failure_reports.reporters.values():
            if reporter.reported_at > self.now - 6.0:
                for engine, attempts, failures in reporter.rows:
                    view = self.controller.router.engines.get(engine)
                    if view is not None and assess(attempts, failures) is Assessment.BAD:
                        view.failure_level, view.failure_decayed_at, view.half_open = 1.0, self.now, True

    def is_quarantined(self, engine: str) -> bool:
        """Whether this gateway's controller has the engine in quarantine now."""
        view = self.controller.router.engines[engine]
        return view.is_quarantined(self.now)


class Fleet:
    """All gateways of one run and the engines that they share.

    The last ``liar_count`` of the gateways are members made by ``liar_factory``. They receive no queries and
    only take part in gossip.
    """

    def __init__(
        self,
        rule: str,
        seed: int,
        gateway_count: int = 10,
        engine_count: int = 16,
        queries_per_s: float = 60.0,
        liar_count: int = 0,
        liar_factory: GroupFactory = Group,
        error_probability: float = 0.0,
    ) -> None:
        self.rule, self.seed, self.gateway_count = rule, seed, gateway_count
        self.queries_per_s = queries_per_s  # at each gateway
        self.error_probability = error_probability  # of an attempt on a healthy engine
        self.engines = [f"e{index}" for index in range(engine_count)]
        self.failing_engine: str | None = None
        self.metrics = FleetMetrics()
        self.network = Network(seed=seed)
        honest_count = gateway_count - liar_count
        nodes = self.network.start_group(
            gateway_count,
            lambda name: Group if int(name[1:]) < honest_count else liar_factory,
            converged=True,
            configured_gateways=gateway_count,
        )
        entries = tuple(api.EngineEntry(engine) for engine in self.engines)
        self.gateways = [Gateway(self, node, index) for index, node in enumerate(nodes[:honest_count])]
        for node in nodes[honest_count:]:
            node.group.update_engine_list(self.network.now, set(self.engines), set())
        for gateway in self.gateways:
            gateway.handle_events(api.ListUpdate(api.ListKind.RESTORED, 1, entries))
            self.network.call_at(
                self.network.now + gateway.random.expovariate(queries_per_s), gateway.submit_query
            )
            self.network.call_at(
                self.network.now + gateway.random.random() * ADAPTER_POLL_INTERVAL_S, gateway.poll_group
            )

    def measure(self, seconds: float) -> FleetMetrics:
        """Run for ``seconds`` and return the metrics; quarantines and reports are sampled every 20 ms."""
        started_at, end, step = self.network.now, self.network.now + seconds, 0.02
        while self.network.now < end:
            self.network.run(step)
            elapsed_s = self.network.now - started_at
            quarantining = [
                gateway
                for gateway in self.gateways
                if self.failing_engine and gateway.is_quarantined(self.failing_engine)
            ]
            if quarantining and self.metrics.first_quarantine_s is None:
                self.metrics.first_quarantine_s = elapsed_s
            if (
                self.failing_engine
                and self._count_quarantining(quarantining) == len(self.gateways)
                and self.metrics.all_quarantined_s is None
            ):
                self.metrics.all_quarantined_s = elapsed_s
                self.metrics.errors_before_all_quarantined = self.metrics.failing_engine_errors
            for gateway in self.gateways:
                if gateway.node.group.snapshot.failing - {self.failing_engine}:
                    self.metrics.false_report_s += step
                    self.metrics.last_false_report_s = elapsed_s
                for engine in self.engines:
                    if engine != self.failing_engine and gateway.is_quarantined(engine):
                        self.metrics.quarantined_healthy.add((gateway.node.name, engine))
                        self.metrics.healthy_quarantine_s += step
        if self.metrics.all_quarantined_s is None:
            self.metrics.errors_before_all_quarantined = self.metrics.failing_engine_errors
        return self.metrics

    def _count_quarantining(self, gateways: list[Gateway]) -> int:
        """Add these gateways to those that ever quarantined the failing engine; return how many they are."""
        self._ever_quarantined_by = getattr(self, "_ever_quarantined_by", set()) | {
            gateway.node.name for gateway in gateways
        }
        return len(self._ever_quarantined_by)
