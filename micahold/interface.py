"""The controller's interface: settings and events that it takes, and actions that it returns.

Times are floats in seconds. Points in time are on the clock that is passed to ``Controller.handle``;
durations end in ``_s``. Memory is in MB, work and cost in thread-seconds: one second of one thread of an
engine. Shares are fractions of 1. Indices of classes, tenants, zones and engine kinds point into the tuples
of ``Settings``. The module holds plain data and no decisions.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from math import inf


class RepeatSafety(Enum):
    """Whether a query may run a second time."""

    SAFE = "safe"  # a repeat does no harm
    KEYED = "keyed"  # engines drop a repeat by its key, within the class's scope and window
    UNSAFE = "unsafe"  # a query that may have run must not run again


class DedupScope(Enum):
    """The engines that drop a repeat of a keyed query: all, or those of the first run's zone or cell."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended.

    After FULL, CONNECT_FAILED and NOT_STARTED the engine has certainly not run the query. After TIMEOUT,
    RESET and CANCELLED it may still be running.
    """

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # the engine refused the query for lack of room
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the connection was lost during the attempt
    CANCELLED = "cancelled"
    NOT_STARTED = "moot"  # the query expired or was answered before an engine began it


class GiveUpReason(Enum):
    """Why a query was given up. The values appear in counters and in the log."""

    NO_OPEN_SLOT = "places"  # its class fills its part of the limit of open queries
    DEADLINE_UNREACHABLE = "reach"  # it can't end before its deadline even on an engine at its best
    WAIT_EXPIRED = "wait"  # its wait ended: no engine had room, or none may run it
    ATTEMPTS_EXHAUSTED = "tries"  # its attempts gave no result, and no other is allowed or can end in time


class EngineState(Enum):
    """The state of an engine in the engine list."""

    UP = "up"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """How the entries of a list update relate to the list so far."""

    CHANGES = "changes"  # they replace single entries
    FULL = "full"  # they are the whole list: engines that are missing are gone
    RESTORED = "restored"  # the whole list, after it was unavailable or at the start
    UNAVAILABLE = "unavailable"  # there are none, and the list so far stays in use


class AttemptStatusKind(Enum):
    """The content of a status message about an attempt in flight."""

    PROGRESS = 1  # value: the share of the work that is done
    SPILLING = 2  # value: the MB of memory that are missing
    WAITING = 3  # value: 1 while it waits for memory, 2 while it waits for a data load
    ALIVE = 4  # the engine still has the attempt; no value


@dataclass(slots=True, frozen=True)
class QueryClass:
    """One class of queries.

    A query earns ``worth`` if it ends by its soft deadline, and ``late_worth_share`` of it between that and
    its deadline. The soft deadline is ``soft_deadline_s`` after arrival plus ``soft_deadline_stretch``
    times the duration on an engine at its best. ``allowed_kinds`` and ``allowed_zones`` are None where all
    are allowed.
    """

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
    ordered_by_key: bool = False  # queries with one ordering key run one at a time, in order of arrival
    allowed_kinds: frozenset[int] | None = None
    allowed_zones: frozenset[int] | None = None
    threads: int = 1  # threads that one query occupies on an engine
    is_data_load: bool = False  # while it runs on an engine, other loads of its table group wait there
    waits_for_data_loads: bool = False  # it waits while a data load of its table group runs on its engine


@dataclass(slots=True, frozen=True)
class Tenant:
    """One tenant: its share of the service, and the rate in queries per second within that share."""

    name: str = ""
    share: float = 1.0
    quota_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineKind:
    """One kind of machine; 0 where a figure is unknown."""

    name: str = ""
    cores: float = 0.0
    memory_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Limits:
    """What the site permits the gateway to do, and its limits."""

    cancel_allowed: bool = False
    probing_allowed: bool = False
    peer_messages_allowed: bool = False
    retry_hints_allowed: bool = False
    second_copies_allowed: bool = False
    max_attempts: int = 1
    max_open_queries: int = 0  # 0: no limit
    max_retry_after_s: float = 0.0
    connect_timeout_s: float = 0.0
    idle_timeout_s: float = 0.0
    streams_per_connection: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_query: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules that every gateway must keep."""

    answer_slack_s: float = 0.0  # a final answer may come this long after the deadline
    ask_within_s: float = 0.0
    drain_grace_s: float = 0.0  # an engine may still be sent queries this long after it starts to drain
    cold_initial_speed: float = 1.0  # speed of an engine that has just started, relative to a warm one
    cold_duration_s: float = 0.0  # an engine counts as cold for this long after its start
    # Thread-seconds that a cold engine may be sent per window, relative to its capacity while cold.
    cold_budget_multiple: float = 1.0
    cold_window_s: float = 0.0  # the window within which that budget applies
    order_settle_s: float = 0.0  # rest of an ordering key after an attempt that may still run
    retry_budget_floor: float = 0.0  # further attempts per window that are always allowed
    retry_budget_ratio: float = 0.0  # further attempts allowed per query that arrived within the window
    retry_window_s: float = 0.0  # 0: further attempts are not limited


@dataclass(slots=True, frozen=True)
class ScoreWeights:
    """The operators' weights of the parts of the service quality."""

    whole: float = 1.0
    worst_window: float = 0.0
    worst_class: float = 0.0
    worst_tenant: float = 0.0


@dataclass(slots=True, frozen=True)
class Settings:
    """The settings that a gateway receives at its start."""

    gateway_index: int = 0  # from 0, different at each gateway of the tier
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
    list_is_pushed: bool = True  # list updates come unasked; else they have to be requested by ``WatchList``
    clients_mark_retries: bool = False
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    weight_source: str = ""
    report_source: str = ""
    report_columns: tuple[str, ...] = ()
    tick_s: float = 0.0
    memory_grants_honored: bool = False  # engines take the memory grant of ``SetTerms``
    priorities_honored: bool = False  # engines take the priority of ``SetTerms``
    max_grant: float = 0.0
    memory_shortage_policy: str = ""
    status_period_s: float = 0.0  # interval of the engines' status messages; 0: there are none
    engines_report_cost: bool = False


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One entry of the engine list."""

    engine: str  # its id, which is never used again for another engine
    state: EngineState = EngineState.UP
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started_at: float = 0.0  # 0: long ago
    weight: float = 1.0


@dataclass(slots=True)
class LoadReport:
    """An engine's own load report; None where it lacks a figure."""

    in_flight: float | None = None  # queries of all gateways that run on the engine
    queued: float | None = None  # queries that wait on the engine
    busy_share: float | None = None
    latency_s: float | None = None
    rate_per_s: float | None = None
    error_rate: float | None = None
    memory_granted_share: float | None = None
    disks_busy_share: float | None = None


# Events. They and the actions are not frozen: frozen dataclasses take three times as long to construct.


@dataclass(slots=True)
class ListUpdate:
    """A change of the engine list, or the whole list; without entries while it is unavailable."""

    kind: ListKind
    revision: int = 0
    entries: tuple[EngineEntry, ...] = ()


@dataclass(slots=True)
class QueryArrived:
    """A new query, to which the gateway owes exactly one final answer. Estimates are None where unknown."""

    query: int  # the gateway's number of the query, also in all other events and actions
    class_index: int
    tenant_index: int
    deadline: float
    ordering_key: int | None = None  # used only where the class is ordered by key
    estimated_cost_s: float | None = None  # thread-seconds by the client's estimate
    estimated_memory_mb: float | None = None
    table_group: int = 0
    is_client_retry: bool = False
    is_write: bool = False


@dataclass(slots=True)
class AttemptStreaming:
    """The first part of a streamed query's answer has arrived."""

    query: int
    attempt: int
    engine: str
    elapsed_s: float


@dataclass(slots=True)
class AttemptStatus:
    """A status message about an attempt in flight; ``AttemptStatusKind`` gives the meaning of ``value``."""

    query: int
    attempt: int
    engine: str
    kind: AttemptStatusKind
    value: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of one attempt.

    ``query_settled`` is True if the query has its final answer, by this attempt or before it. ``work_s`` and
    ``memory_mb`` are what the engine says that the attempt used.
    """

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
    """The client no longer waits for the query, which therefore needs no final answer."""

    query: int


@dataclass(slots=True)
class TimerFired:
    """A timer that ``SetTimer`` started has expired."""

    timer: int


@dataclass(slots=True)
class GatewayClosing:
    """The gateway shuts down: present and new queries have to be answered by ``answer_by``."""

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
    """A message from another gateway of the tier."""

    gateway: int
    payload: bytes


@dataclass(slots=True)
class PeerReport:
    """The engines that other gateways see failing or draining.

    Each report replaces the previous one and is void after ``valid_until``.
    """

    failing: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    valid_until: float = 0.0


@dataclass(slots=True)
class GroupSize:
    """The number of gateways, by the members that are in the group.

    ``upper_bound`` divides what a rule limits, so that the rule holds even if more gateways exist than are
    seen alive. ``alive`` divides what only affects efficiency.
    """

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
    """Starts an attempt, which is abandoned at ``expires`` (0: at the query's deadline).

    It is not started at all if its first byte can't be written before ``start_by``.
    """

    query: int
    engine: str
    expires: float = 0.0
    start_by: float = inf


@dataclass(slots=True)
class SetTerms:
    """Sets the memory grant (0: the engine's own choice) and the priority of the query's next attempts."""

    query: int
    grant_mb: float = 0.0
    priority: int = 1


@dataclass(slots=True)
class Refuse:
    """Final answer: refused. The client may safely retry, after ``retry_after`` seconds (0: no hint)."""

    query: int
    retry_after: float = 0.0
    reason: GiveUpReason = field(default=GiveUpReason.WAIT_EXPIRED, compare=False, repr=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed. The query may have run, so a retry may not be safe."""

    query: int
    reason: GiveUpReason = field(default=GiveUpReason.WAIT_EXPIRED, compare=False, repr=False)


@dataclass(slots=True)
class Cancel:
    """Cancels one attempt."""

    query: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Requests a ``TimerFired`` after ``delay`` seconds."""

    timer: int
    delay: float


@dataclass(slots=True)
class WatchList:
    """Starts or stops the delivery of engine list changes."""

    wanted: bool = True


@dataclass(slots=True)
class FetchList:
    """Requests the whole engine list once."""


@dataclass(slots=True)
class Probe:
    """Probes an engine; ``ProbeEnded`` gives the outcome."""

    engine: str


@dataclass(slots=True)
class CloseIdle:
    """Closes the idle connections to an engine."""

    engine: str


@dataclass(slots=True)
class TellPeer:
    """Sends at most 256 bytes to one gateway, or to all (None)."""

    payload: bytes
    gateway: int | None = None


@dataclass(slots=True)
class Log:
    """Writes a line to the operators' log."""

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
