"""Ten gateways that share engines, in virtual time: what hearsay is worth when an engine starts to fail fast.

Each gateway is the real decision module with the real group beside it, joined by the real bridge. Engines are
plain: exponential service times on enough cores; one that fails answers with an error after a millisecond.
Queries come by a Poisson process at each gateway and are safe to ask again. All is seeded.
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

SERVICE_S, ERROR_S = 0.02, 0.001
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
TICK_S, TELL_S = 0.05, 0.1

ALONE, HEARSAY, ANY_PEER = "alone", "hearsay", "any peer"
RULES_COMPARED = (ALONE, HEARSAY, ANY_PEER)


@dataclass(slots=True)
class Tally:
    """Counts over the whole run, healthy engines apart from the one that fails."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    met_errors: int = 0  # attempts that the failing engine spoilt
    sporadic: int = 0  # attempts that a healthy engine spoilt
    shunned_healthy: set[tuple[str, str]] = field(default_factory=set)  # gateway, engine, put on trial ever
    shunned_s: float = 0.0  # gateway-seconds for which a healthy engine was passed over
    told_s: float = 0.0  # gateway-seconds for which the group called a healthy engine failing
    told_until: float = 0.0  # when it last did, from the start
    first: float | None = None  # from the start of the failure until one gateway had put it on trial
    everybody: float | None = None  # and until all had
    lost_before_all: int = 0  # attempts that it spoilt until then


class Gateway:
    """One gateway: decisions, group, and its queries."""

    def __init__(self, fleet: Fleet, node: Node, number: int) -> None:
        self.fleet, self.node = fleet, node
        settings = api.Settings(
            gateway_index=number,
            gateway_count=fleet.gateways,
            zones=("a",),
            engine_kinds=(api.EngineKind("std", 16.0, 32000.0),),
            classes=CLASSES,
            tenants=(api.Tenant("one", 1.0),),
            limits=LIMITS,
            rules=RULES,
        )
        self.controller = Controller(settings, fleet.seed * 100 + number)
        self.adapter = ControllerAdapter(node.group, fleet.rule == HEARSAY)
        self.random = Random(fleet.seed * 1000 + number)
        self.asked = 0

    @property
    def now(self) -> float:
        return self.fleet.net.now

    def tell(self, *events: api.Event) -> None:
        """Events to the decisions, and their actions carried out."""
        for event in events:
            self.adapter.handle_event(self.now, event)
        for action in self.controller.handle(self.now, list(events)):
            match action:
                case api.Send(query, engine):
                    self._send(query, engine)
                case api.Refuse() | api.Fail():
                    self.fleet.tally.refused += 1
                case api.SetTimer(timer, delay):
                    self.fleet.net.call_at(self.now + delay, self.tell, api.TimerFired(timer))
                case _:
                    pass

    def ask(self) -> None:
        self.asked += 1
        self.fleet.tally.asked += 1
        event = api.QueryArrived(
            self.asked,
            0,
            0,
            self.now + CLASSES[0].deadline_s,
            estimated_cost_s=SERVICE_S,
            table_group=self.random.randrange(40),
        )
        self.fleet.net.call_at(self.now + self.random.expovariate(self.fleet.rate), self.ask)
        self.tell(event)

    def _send(self, query: int, engine: str) -> None:
        fails = engine == self.fleet.failing
        spoilt = fails or self.random.random() < self.fleet.sporadic
        took = ERROR_S if fails else self.random.expovariate(1 / SERVICE_S)
        attempt = self.controller.queries[query].attempt_count - 1
        self.fleet.net.call_at(self.now + took, self._ended, query, attempt, engine, spoilt, took)

    def _ended(self, query: int, attempt: int, engine: str, spoilt: bool, took: float) -> None:
        tally = self.fleet.tally
        if spoilt and engine == self.fleet.failing:
            tally.met_errors += 1
        else:
            tally.sporadic += spoilt
        tally.served += not spoilt
        outcome = api.Outcome.ERROR if spoilt else api.Outcome.OK
        self.tell(api.AttemptEnded(query, attempt, engine, outcome, took, query_settled=not spoilt))

    def tell_group(self) -> None:
        """What the group knows by now, to the decisions."""
        if self.fleet.rule == ANY_PEER:
            self._believe_any_peer()
        events = self.adapter.take_events(self.now)
        if events:
            self.tell(*events)
        self.fleet.net.call_at(self.now + TELL_S, self.tell_group)

    def _believe_any_peer(self) -> None:
        """The plain rule for comparison: what any member calls failing is put on trial at once."""
        for voice in self.node.group.failure_reports.reporters.values():
            if voice.reported_at > self.now - 6.0:
                for engine, attempts, failures in voice.rows:
                    view = self.controller.router.engines.get(engine)
                    if view is not None and assess(attempts, failures) is Assessment.BAD:
                        view.failure_level, view.failure_decayed_at, view.half_open = 1.0, self.now, True

    def on_trial(self, engine: str) -> bool:
        view = self.controller.router.engines[engine]
        return view.is_quarantined(self.now)


class Fleet:
    """``liars`` of the gateways are of the kind ``liar`` and ask nothing themselves; their word is all they
    send.
    """

    def __init__(
        self,
        rule: str,
        seed: int,
        gateways: int = 10,
        engines: int = 16,
        rate: float = 60.0,
        liars: int = 0,
        liar: GroupFactory = Group,
        sporadic: float = 0.0,
    ) -> None:
        self.rule, self.seed, self.gateways, self.rate, self.sporadic = rule, seed, gateways, rate, sporadic
        self.engines = [f"e{one}" for one in range(engines)]
        self.failing: str | None = None
        self.tally = Tally()
        self.net = Network(seed=seed)
        honest = gateways - liars
        nodes = self.net.start_group(
            gateways,
            lambda name: Group if int(name[1:]) < honest else liar,
            converged=True,
            configured_gateways=gateways,
        )
        entries = tuple(api.EngineEntry(one) for one in self.engines)
        self.gateways_ = [Gateway(self, node, at) for at, node in enumerate(nodes[:honest])]
        for node in nodes[honest:]:
            node.group.update_engine_list(self.net.now, set(self.engines), set())
        for one in self.gateways_:
            one.tell(api.ListUpdate(api.ListKind.RESTORED, 1, entries))
            self.net.call_at(self.net.now + one.random.expovariate(rate), one.ask)
            self.net.call_at(self.net.now + one.random.random() * TELL_S, one.tell_group)

    def watch(self, seconds: float) -> Tally:
        """Let so much time pass, looking at what is on trial where each 20 ms."""
        begun, end, step = self.net.now, self.net.now + seconds, 0.02
        while self.net.now < end:
            self.net.run(step)
            passed = self.net.now - begun
            seen = [one for one in self.gateways_ if self.failing and one.on_trial(self.failing)]
            if seen and self.tally.first is None:
                self.tally.first = passed
            if self.failing and self._ever(seen) == len(self.gateways_) and self.tally.everybody is None:
                self.tally.everybody, self.tally.lost_before_all = passed, self.tally.met_errors
            for one in self.gateways_:
                if one.node.group.snapshot.failing - {self.failing}:
                    self.tally.told_s += step
                    self.tally.told_until = passed
                for engine in self.engines:
                    if engine != self.failing and one.on_trial(engine):
                        self.tally.shunned_healthy.add((one.node.name, engine))
                        self.tally.shunned_s += step
        if self.tally.everybody is None:
            self.tally.lost_before_all = self.tally.met_errors
        return self.tally

    def _ever(self, now: list[Gateway]) -> int:
        self._seen = getattr(self, "_seen", set()) | {one.node.name for one in now}
        return len(self._seen)
