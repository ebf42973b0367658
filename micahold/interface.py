"""What the decisions are told and what they answer: settings, events and actions.

Times are seconds as floats on the clock that is handed to ``Controller.handle``; memory is in MB.
Indices (class, tenant, zone, kind) point into the tuples of ``Settings``. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class RepeatSafety(Enum):
    """What a second run of a query does."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DedupScope(Enum):
    """The engines that drop a repeat of a keyed query."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"


class GiveUpReason(Enum):
    """Why a query was given up; for counters and the log."""

    NO_OPEN_SLOT = "places"  # no place open for its class
    DEADLINE_UNREACHABLE = "reach"  # it can't end before its deadline even at an engine's best
    WAIT_EXPIRED = "wait"  # held until its time was up: no engine had room, or none may run it
    ATTEMPTS_EXHAUSTED = "tries"  # its attempts brought nothing, and no other is allowed or in time


class EngineState(Enum):
    """What the engine list says of an engine."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How a list update is to be read."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "restored"
    UNAVAILABLE = "unavailable"


class AttemptStatusKind(Enum):
    """What a note about a running attempt tells."""

    PROGRESS = 1
    SPILLING = 2
    WAITING = 3
    ALIVE = 4  # the engine has it still, and says no more


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries. ``allowed_kinds`` and ``allowed_zones`` are None where unbound."""

    name: str = ""
    worth: float = 1.0
    late_worth_share: float = 0.0
    soft_deadline_s: float = 1.0
    soft_deadline_stretch: float = 0.0
    deadline_s: float = 1.0
    repeat_safety: RepeatSafety = RepeatSafety.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window_s: float = 0.0
    streamed: bool = False
    ordered_by_key: bool = False
    allowed_kinds: frozenset[int] | None = None
    allowed_zones: frozenset[int] | None = None
    threads: int = 1
    is_data_load: bool = False
    waits_for_data_loads: bool = False


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: its share of the service, and the rate (queries a second) within that share."""

    name: str = ""
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineKind:
    """One kind of machine; 0 where a figure is not told."""

    name: str = ""
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What the site allows."""

    cancel_allowed: bool = False
    probing_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_hints_allowed: bool = False
    second_copies_allowed: bool = False
    max_attempts: int = 1
    max_open_queries: int = 0
    max_retry_after_s: float = 0.0
    connect_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0
    streams_per_connection: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_query: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules. ``retry_window`` is 0 where further attempts are not rationed."""

    answer_slack_s: float = 0.0
    ask_within_s: float = 0.0
    drain_grace_s: float = 0.0
    cold_initial_speed: float = 1.0
    cold_duration_s: float = 0.0
    cold_budget_multiple: float = 1.0
    cold_window_s: float = 0.0
    order_settle_s: float = 0.0
    retry_budget_floor: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_window_s: float = 0.0


@dataclass(slots=True, frozen=True)
class ScoreWeights:
    """How the operators weigh the parts of the service."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a gateway is told at its start."""

    gateway_index: int = 0
    gateway_count: int = 1
    zone: int = 0
    zones: tuple[str, ...] = ()
    engine_kinds: tuple[EngineKind, ...] = ()
    classes: tuple[QueryClass, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    tiers: tuple[str, ...] = ()
    tier: int = 0
    family: str = ""
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)
    score: ScoreWeights = field(default_factory=ScoreWeights)
    prices: dict[str, float] = field(default_factory=dict)
    list_is_pushed: bool = True
    clients_mark_retries: bool = False
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    weight_source: str = ""
    report_source: str = ""
    report_columns: tuple[str, ...] = ()
    tick_s: float = 0.0
    memory_grants_honored: bool = False
    priorities_honored: bool = False
    max_grant: float = 0.0
    memory_shortage_policy: str = ""
    status_period_s: float = 0.0
    engines_report_cost: bool = False


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of the engine list; ``started`` is 0 for long ago."""

    engine: str
    state: EngineState = EngineState.UP
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started_at: float = 0.0
    weight: float = 1.0


@dataclass(slots=True)
class LoadReport:
    """An engine's own load report; None where a figure is not in it."""

    in_flight: float | None = None
    queued: float | None = None
    busy_share: float | None = None
    latency_s: float | None = None
    rate_per_s: float | None = None
    error_rate: float | None = None
    memory_granted_share: float | None = None
    disks_busy_share: float | None = None


# Events. They and the actions are not frozen: frozen ones take three times as long to make.


@dataclass(slots=True)
class ListUpdate:
    """News of the engine list; no entries where it is unavailable."""

    kind: ListKind
    revision: int = 0
    entries: tuple[EngineEntry, ...] = ()


@dataclass(slots=True)
class QueryArrived:
    """A query that this gateway now owes one final answer; estimates are None where not told."""

    query: int
    class_index: int
    tenant_index: int
    deadline: float
    ordering_key: int | None = None
    estimated_cost_s: float | None = None
    estimated_memory_mb: float | None = None
    table_group: int = 0
    is_client_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class AttemptStreaming:
    """The answer of a streamed query has begun to flow."""

    query: int
    attempt: int
    engine: str
    elapsed_s: float


@dataclass(slots=True)
class AttemptStatus:
    """Word on an attempt that is out: share done, MB missing, or what it waits for (1 memory, 2 a load)."""

    query: int
    attempt: int
    engine: str
    kind: AttemptStatusKind
    value: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of one attempt; ``settled`` when the query has ended by it or before it."""

    query: int
    attempt: int
    engine: str
    outcome: Outcome
    elapsed_s: float
    query_settled: bool = False
    work_s: float = 0.0
    memory_mb: float = 0.0
    report: LoadReport | None = None


@dataclass(slots=True)
class QueryDropped:
    """The client is gone; nothing is owed for the query any more."""

    query: int


@dataclass(slots=True)
class TimerFired:
    """A timer that was set has come due."""

    timer: int


@dataclass(slots=True)
class GatewayClosing:
    """This gateway ends: what it has and what comes has to be answered by then."""

    answer_by: float


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    engine: str
    outcome: Outcome
    elapsed_s: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another gateway of the tier."""

    gateway: int
    payload: bytes


@dataclass(slots=True)
class PeerReport:
    """What the other gateways say of engines: each replaces the one before and is void after ``until``."""

    failing: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    valid_until: float = 0.0


@dataclass(slots=True)
class GroupSize:
    """Gateways: ``bound`` divides what a rule allows, ``living`` what is only efficiency."""

    upper_bound: int
    alive: int


Event = (
    ListUpdate
    | QueryArrived
    | AttemptStreaming
    | AttemptStatus
    | AttemptEnded
    | QueryDropped
    | TimerFired
    | GatewayClosing
    | ProbeEnded
    | PeerMessage
    | PeerReport
    | GroupSize
)


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; it is abandoned at ``expires`` (0: when the client gives up)."""

    query: int
    engine: str
    expires: float = 0.0


@dataclass(slots=True)
class SetTerms:
    """The grant (0: the engine's own choice) and priority of the query's next attempts."""

    query: int
    grant_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, trying again is harmless (after ``retry_after``; 0: no advice)."""

    query: int
    retry_after: float = 0.0
    reason: GiveUpReason = field(default=GiveUpReason.WAIT_EXPIRED, compare=False, repr=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, promising nothing."""

    query: int
    reason: GiveUpReason = field(default=GiveUpReason.WAIT_EXPIRED, compare=False, repr=False)


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    query: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` after ``delay``."""

    timer: int
    delay: float


@dataclass(slots=True)
class WatchList:
    """Ask for the engine list's changes from now on, or stop asking."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Ask once for the whole engine list."""


@dataclass(slots=True)
class Probe:
    """Test an engine."""

    engine: str


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an engine."""

    engine: str


@dataclass(slots=True)
class TellPeer:
    """Send at most 256 bytes to one gateway, or to all (None)."""

    payload: bytes
    gateway: int | None = None


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    line: str


Action = (
    Send
    | SetTerms
    | Refuse
    | Fail
    | Cancel
    | SetTimer
    | WatchList
    | FetchList
    | Probe
    | CloseIdle
    | TellPeer
    | Log
)
