"""The program as one object whose states are its phases, from start to exit."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

from twisted.internet import error

from micahold.counters import Counters
from micahold.program.collector import GarbageCollector
from micahold.program.configuration import Configuration
from micahold.program.log import Log
from micahold.protocol.engine_list import ListNews, parse_news
from micahold.protocol.errors import ProtocolError
from micahold.routing.exchange import Exchange
from micahold.settings import FormatError
from micahold.transport.calls import EngineConnectionPools
from micahold.transport.channel import CommandChannel
from micahold.transport.clients import ClientSessions
from micahold.transport.directory import EngineDirectory

LISTEN_BACKLOG = 1024
# Of the platform's notice: connections come for 0.4 s after SIGTERM and requests on them for 0.2 s more;
# SIGKILL comes no sooner than the longest deadline, 3 s at most of it counted, and 0.7 s.
NOTICE_PERIOD_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.25  # all is answered and the program gone this long before
DECISION_MARGIN_S = 0.1  # before what is still open is failed, the decisions end it
FLUSH_TIMEOUT_S = 0.3  # for last answers to go out
POLL_INTERVAL_S = 0.05
LATENESS_SAMPLE_INTERVAL_S = 0.1  # how often the loop's lateness is measured


class Phase(Enum):
    """Each phase leads to the next only."""

    CONFIGURED = "configured"
    SERVING = "serving"
    NOTICE = "notice"  # told to end; what comes is still taken
    DRAINING = "draining"  # the listener is closed; what was taken is being answered
    CLOSING = "closing"  # last answers go out
    STOPPED = "stopped"


def forward_unix_clock() -> Callable[[], float]:
    """Unix time that only moves forward: the wall clock at the start, then the monotonic clock."""
    base = time.time() - time.monotonic()
    return lambda: base + time.monotonic()


class Subsystems(Protocol):
    """What the operator's own file switches on beside the front."""

    def start(self) -> None: ...

    def leave(self) -> None: ...

    def stop(self) -> None: ...

    def reload(self) -> None: ...

    def counters(self) -> dict[str, int]: ...


class Front:
    """Puts the parts together and takes them through the phases."""

    def __init__(
        self,
        configuration: Configuration,
        clock: Any,
        now: Callable[[], float],
        log: Log,
        counters: Counters,
        stop: Callable[[], None],
    ) -> None:
        self.configuration, self.clock, self.log, self.counters = configuration, clock, log, counters
        self._stop = stop
        self.phase = Phase.CONFIGURED
        settings = configuration.settings
        self.directory = EngineDirectory()
        self.pools = EngineConnectionPools(
            clock,
            self.directory,
            counters,
            configuration.max_engine_connections,
            settings.limits.connect_timeout_s,
            settings.limits.idle_timeout_s,
        )
        self.exchange = Exchange(
            settings,
            configuration.seed,
            clock,
            now,
            self.pools,
            self.directory,
            counters,
            log,
            clock.call_at_iteration_end,
            timer_lateness=clock.timer_lateness,
        )
        self.sessions = ClientSessions(
            clock,
            self.exchange,
            counters,
            log,
            configuration.seed,
            configuration.max_client_connections,
            clock.max_read_delay,
            configuration.max_client_bytes,
        )
        self.channel = CommandChannel(
            clock, configuration.channel, configuration.cursor, self._list_event, counters, log
        )
        self.collector = GarbageCollector(clock, lambda: self.exchange.unanswered_count == 0, counters.add)
        self.subsystems: Subsystems | None = None
        self._port: Any = None
        self._give_up_at = 0.0

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log("phase", phase=phase.value)

    def start(self) -> None:
        """The known list, then the channel and clients; ``CannotListenError`` if the address is taken."""
        self.log.defer_flushes(lambda: self.clock.callLater(POLL_INTERVAL_S, self._write_log))
        for news in self.configuration.initial_list_events:
            self.exchange.apply_list_update(news)
        host, port = self.configuration.listen
        self._port = self.clock.listenTCP(port, self.sessions, backlog=LISTEN_BACKLOG, interface=host)
        self.channel.start()
        if self.subsystems is not None:
            self.subsystems.start()
        self.clock.callLater(
            LATENESS_SAMPLE_INTERVAL_S, self._measure_lag, self.clock.seconds() + LATENESS_SAMPLE_INTERVAL_S
        )
        self.collector.start()
        self._enter(Phase.SERVING)

    def _write_log(self) -> None:
        if not self.log.flush():
            self.clock.callLater(POLL_INTERVAL_S, self._write_log)

    def _measure_lag(self, due: float) -> None:
        now = self.clock.seconds()
        self.counters.record_max("loop_late_ms", round((now - due) * 1000))
        self.clock.callLater(LATENESS_SAMPLE_INTERVAL_S, self._measure_lag, now + LATENESS_SAMPLE_INTERVAL_S)

    def _list_event(self, data: bytes) -> bool:
        """False where it can't be read."""
        settings = self.configuration.settings
        try:
            news: ListNews = parse_news(
                data, settings.zones, tuple(kind.name for kind in settings.engine_kinds)
            )
        except ProtocolError as problem:
            self.counters.add("list_events_unreadable")
            self.log("list_event_unreadable", error=str(problem))
            return False
        self.exchange.apply_list_update(news)
        return True

    # New configurations

    def reload_configuration(self, read: Callable[[], Configuration]) -> None:
        """SIGHUP: the channel's address is taken over, all else holds until a restart.

        Guards against an end on SIGHUP, and against a file that is missing, half written or unusable:
        then everything stays as it is.
        """
        try:
            new = read()
        except FormatError as problem:
            self.counters.add("reloads_refused")
            self.log("reload_refused", error=str(problem))
            return
        old = self.configuration
        names = ("name", "listen", "settings", "sockets", "memory_mb")
        on_restart = [name for name in names if getattr(new, name) != getattr(old, name)]
        moved = new.channel != self.channel.address
        self.counters.add("reloads_taken_over")
        self.log("reload", channel_moved=moved, only_on_restart=on_restart)
        self.channel.change_address(new.channel)

    def reload(self, read: Callable[[], Configuration]) -> None:
        """SIGHUP: the platform's file and the operator's, each for itself."""
        self.reload_configuration(read)
        if self.subsystems is not None:
            self.subsystems.reload()

    # The end

    def begin_shutdown(self) -> None:
        """SIGTERM; a second one changes nothing."""
        if self.phase is not Phase.SERVING:
            return
        self._enter(Phase.NOTICE)
        longest = max((one.deadline_s for one in self.configuration.settings.classes), default=0.0)
        kill_after = min(longest, MAX_COUNTED_DEADLINE_S) + NOTICE_PERIOD_S
        left = max(NOTICE_PERIOD_S, kill_after - KILL_MARGIN_S - FLUSH_TIMEOUT_S)
        self._give_up_at = self.clock.seconds() + left
        self.exchange.begin_shutdown(left - DECISION_MARGIN_S)
        if self.subsystems is not None:
            self.subsystems.leave()
        self.clock.callLater(NOTICE_PERIOD_S, self._drain)

    def _drain(self) -> None:
        self._enter(Phase.DRAINING)
        self._port.stopListening()
        self._await_answers()

    def _await_answers(self) -> None:
        """What no engine has answered by the last moment is failed: an exit must leave nothing open."""
        if self.exchange.unanswered_count and self.clock.seconds() < self._give_up_at:
            self.clock.callLater(POLL_INTERVAL_S, self._await_answers)
            return
        self._enter(Phase.CLOSING)
        if self.exchange.unanswered_count:
            self.log("given_up_at_exit", queries=self.exchange.unanswered_count)
            self.exchange.fail_open_queries("server shutdown in progress")
        self.channel.stop()
        self.sessions.close_idle()
        self._close_by = self.clock.seconds() + FLUSH_TIMEOUT_S
        self._await_sessions()

    def _await_sessions(self) -> None:
        if len(self.sessions) and self.clock.seconds() < self._close_by:
            self.clock.callLater(POLL_INTERVAL_S / 5, self._await_sessions)
            return
        self.sessions.abort_all()
        if self.subsystems is not None:
            self.subsystems.stop()
        self._enter(Phase.STOPPED)
        self.log_counters()
        self._stop()

    def log_counters(self) -> None:
        more = self.subsystems.counters() if self.subsystems is not None else {}
        self.log("counters", open=self.exchange.unanswered_count, **self.counters.snapshot(), **more)


def format_listen_error(problem: error.CannotListenError) -> str:
    return f"cannot listen on {problem.interface}:{problem.port}: {problem.socketError}"
