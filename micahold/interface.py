"""What the decisions are told and what they answer: settings, events and actions.

Times are seconds as floats on the clock that is handed to ``Controller.handle``; memory is in MB.
Indices (class, tenant, zone, kind) point into the tuples of ``Settings``. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
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
    MOOT = "moot"


class Reason(Enum):
    """Why a query was given up; for counters and the log."""

    PLACES = "places"  # no place open for its class
    REACH = "reach"  # it can't end before its deadline even at an engine's best
    WAIT = "wait"  # held until its time was up: no engine had room, or none may run it
    TRIES = "tries"  # its attempts brought nothing, and no other is allowed or in time


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


class NoteKind(Enum):
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
    late_share: float = 0.0
    aim: float = 1.0
    aim_stretch: float = 0.0
    deadline: float = 1.0
    effect: Effect = Effect.SAFE
    dedup_scope: DedupScope = DedupScope.ALL
    dedup_window: float = 0.0
    streamed: bool = False
    in_order: bool = False
    allowed_kinds: frozenset[int] | None = None
    allowed_zones: frozenset[int] | None = None
    threads: int = 1
    is_load: bool = False
    waits_for_loads: bool = False


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

    cancel: bool = False
    probing: bool = False
    peer_messages: bool = False
    retry_hints: bool = False
    second_copies: bool = False
    max_attempts: int = 1
    max_open: int = 0
    max_retry_after: float = 0.0
    connect_timeout: float = 0.0
    idle_close: float = 0.0
    streams_per_connection: int = 1
    cpu_us_per_s: float = 0.0
    cpu_us_per_query: float = 0.0


@dataclass(slots=True, frozen=True)
class Rules:
    """Figures of the rules. ``retry_window`` is 0 where further attempts are not rationed."""

    answer_slack: float = 0.0
    ask_within: float = 0.0
    drain_grace: float = 0.0
    cold_from: float = 1.0
    cold_time: float = 0.0
    cold_multiple: float = 1.0
    cold_window: float = 0.0
    order_settle: float = 0.0
    retry_free: float = 0.0
    retry_share: float = 0.0
    retry_window: float = 0.0


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

    gateway: int = 0
    gateways: int = 1
    zone: int = 0
    zones: tuple[str, ...] = ()
    kinds: tuple[EngineKind, ...] = ()
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
    weights: str = ""
    report_source: str = ""
    report_columns: tuple[str, ...] = ()
    tick: float = 0.0
    grants_heeded: bool = False
    priorities_heeded: bool = False
    most_grant: float = 0.0
    when_short: str = ""
    note_period: float = 0.0
    tells_cost: bool = False


@dataclass(slots=True, frozen=True)
class EngineEntry:
    """One line of the engine list; ``started`` is 0 for long ago."""

    engine: str
    state: EngineState = EngineState.UP
    zone: int = 0
    kind: int = 0
    cell: int = 0
    started: float = 0.0
    weight: float = 1.0


@dataclass(slots=True)
class LoadReport:
    """An engine's own load report; None where a figure is not in it."""

    in_flight: float | None = None
    queued: float | None = None
    busy: float | None = None
    latency: float | None = None
    rate: float | None = None
    error_rate: float | None = None
    memory_granted: float | None = None
    disks_busy: float | None = None


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
    query_class: int
    tenant: int
    deadline: float
    key: int | None = None
    cost: float | None = None
    memory_mb: float | None = None
    tables: int = 0
    is_repeat: bool = False
    is_write: bool = False


@dataclass(slots=True)
class AttemptStreaming:
    """The answer of a streamed query has begun to flow."""

    query: int
    attempt: int
    engine: str
    elapsed: float


@dataclass(slots=True)
class AttemptNote:
    """Word on an attempt that is out: share done, MB missing, or what it waits for (1 memory, 2 a load)."""

    query: int
    attempt: int
    engine: str
    kind: NoteKind
    value: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """The outcome of one attempt; ``settled`` when the query has ended by it or before it."""

    query: int
    attempt: int
    engine: str
    outcome: Outcome
    elapsed: float
    settled: bool = False
    work: float = 0.0
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
class Closing:
    """This gateway ends: what it has and what comes has to be answered by then."""

    by: float


@dataclass(slots=True)
class ProbeEnded:
    """The outcome of a probe."""

    engine: str
    outcome: Outcome
    elapsed: float
    report: LoadReport | None = None


@dataclass(slots=True)
class PeerMessage:
    """Bytes from another gateway of the tier."""

    gateway: int
    payload: bytes


@dataclass(slots=True)
class Hearsay:
    """What the other gateways say of engines: each replaces the one before and is void after ``until``."""

    failing: frozenset[str] = frozenset()
    draining: frozenset[str] = frozenset()
    until: float = 0.0


@dataclass(slots=True)
class GroupSize:
    """Gateways: ``bound`` divides what a rule allows, ``living`` what is only efficiency."""

    bound: int
    living: int


Event = (
    ListUpdate
    | QueryArrived
    | AttemptStreaming
    | AttemptNote
    | AttemptEnded
    | QueryDropped
    | TimerFired
    | Closing
    | ProbeEnded
    | PeerMessage
    | Hearsay
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
    reason: Reason = field(default=Reason.WAIT, compare=False, repr=False)


@dataclass(slots=True)
class Fail:
    """Final answer: failed, promising nothing."""

    query: int
    reason: Reason = field(default=Reason.WAIT, compare=False, repr=False)


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
