"""The process as one object whose states are its phases, from start to exit."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace
from enum import Enum
from functools import partial
from typing import Any, Protocol

from twisted.internet import error as twisted_error

from micahold.counters import Counters
from micahold.program.collector import GarbageCollector
from micahold.program.configuration import Configuration
from micahold.program.engine_start_times import EngineStartTimes
from micahold.program.known_engines import KnownEngines
from micahold.program.listening import listen_despite_shortage
from micahold.program.log import Log
from micahold.protocol.engine_list import EngineListEvent, parse_list_event
from micahold.protocol.errors import ProtocolError
from micahold.routing.exchange import Exchange
from micahold.settings import FormatError
from micahold.transport.channel import CommandChannel
from micahold.transport.clients import ClientSessions
from micahold.transport.connection_pools import EngineConnectionPools
from micahold.transport.directory import EngineDirectory

LISTEN_BACKLOG = 1024
# Shutdown as the platform times it: after SIGTERM, connections arrive for 0.4 s and requests on them for
# 0.2 s more; SIGKILL follows no sooner than 0.7 s plus the longest deadline, of which at most 3 s count.
NOTICE_PERIOD_S = 0.7
MAX_COUNTED_DEADLINE_S = 3.0
KILL_MARGIN_S = 0.25  # the process has answered everything and exited this long before SIGKILL
DECISION_MARGIN_S = 0.1  # the controller ends open queries this long before the front fails the rest
FLUSH_TIMEOUT_S = 0.3  # for the last answers to reach the clients
POLL_INTERVAL_S = 0.05  # between writes of the log, and between checks for unanswered queries
LATENESS_SAMPLE_INTERVAL_S = 0.1


class Phase(Enum):
    """The phases of the process, in order; each is followed by the next one only."""

    CONFIGURED = "configured"
    SERVING = "serving"
    NOTICE = "notice"  # SIGTERM has arrived; new queries are still accepted
    DRAINING = "draining"  # the listening socket is closed; accepted queries are being answered
    CLOSING = "closing"  # the last answers are being sent
    STOPPED = "stopped"


class Subsystems(Protocol):
    """The subsystems that the operator's own file enables beside the front."""

    def start(self) -> None:
        """Starts the subsystems; the front calls it once it listens."""
        ...

    def leave(self) -> None:
        """Announces the exit to other fronts; the front calls it when the shutdown begins."""
        ...

    def stop(self) -> None:
        """Stops the subsystems; the front calls it right before it stops."""
        ...

    def reload(self) -> None:
        """Reads the operator's own file again and applies what may change in service."""
        ...

    def counters(self) -> dict[str, int]:
        """The counters of the subsystems, by name."""
        ...


class Front:
    """Builds the parts of a front, connects them and takes them through the phases.

    ``clock`` is the reactor, ``now`` returns seconds of the monotonic clock, ``unix_now`` those of the wall
    clock, ``stop`` stops the reactor.
    """

    def __init__(
        self,
        configuration: Configuration,
        clock: Any,
        now: Callable[[], float],
        log: Log,
        counters: Counters,
        stop: Callable[[], None],
        unix_now: Callable[[], float] = time.time,
    ) -> None:
        self.configuration = configuration
        self.clock = clock
        self.log = log
        self.counters = counters
        self._stop = stop
        self._now = now
        self._unix_now = unix_now
        self._known_engines = KnownEngines()
        self._start_times = EngineStartTimes(configuration.settings.rules.cold_duration_s)
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
            clock.read_pending,
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
            clock.read_pending,
        )
        self.channel = CommandChannel(
            clock, configuration.channel, configuration.cursor, self._apply_list_event, counters, log
        )
        clock.control_transport = lambda: self.channel.transport
        self.collector = GarbageCollector(clock, lambda: self.exchange.unanswered_count == 0, counters.add)
        self.subsystems: Subsystems | None = None
        self._port: Any = None
        self._drain_deadline = 0.0

    def _enter(self, phase: Phase) -> None:
        self.phase = phase
        self.log("phase", phase=phase.value)

    def start(self) -> None:
        """Applies the initial engine list, then starts the listener and the command channel.

        Raises ``CannotListenError`` if the address is in use, or for a lasting shortage of the machine.
        """
        self.log.defer_flushes(lambda: self.clock.callLater(POLL_INTERVAL_S, self._flush_log))
        for list_event in self.configuration.initial_list_events:
            self._apply_engine_list(list_event, is_news=False)
        host, port = self.configuration.listen
        self._port = listen_despite_shortage(
            partial(self.clock.listenTCP, port, self.sessions, backlog=LISTEN_BACKLOG, interface=host)
        )
        self.channel.start()
        if self.subsystems is not None:
            self.subsystems.start()
        self.clock.callLater(
            LATENESS_SAMPLE_INTERVAL_S,
            self._sample_lateness,
            self.clock.seconds() + LATENESS_SAMPLE_INTERVAL_S,
        )
        self.collector.start()
        self._enter(Phase.SERVING)

    def _flush_log(self) -> None:
        if not self.log.flush():
            self.clock.callLater(POLL_INTERVAL_S, self._flush_log)

    def _sample_lateness(self, due: float) -> None:
        """Records how long after ``due``, in the reactor's time, this timer has fired."""
        now = self.clock.seconds()
        self.counters.record_max("loop_late_ms", round((now - due) * 1000))
        self.clock.callLater(
            LATENESS_SAMPLE_INTERVAL_S, self._sample_lateness, now + LATENESS_SAMPLE_INTERVAL_S
        )

    def _apply_list_event(self, data: bytes) -> bool:
        """Applies an event of the engine list; False where it is unreadable."""
        settings = self.configuration.settings
        try:
            list_event: EngineListEvent = parse_list_event(
                data, settings.zones, tuple(kind.name for kind in settings.engine_kinds)
            )
        except ProtocolError as error:
            self.counters.add("list_events_unreadable")
            self.log("list_event_unreadable", error=str(error))
            return False
        self._apply_engine_list(list_event, is_news=True)
        return True

    def _apply_engine_list(self, list_event: EngineListEvent, is_news: bool) -> None:
        list_event = self._known_engines.complete(list_event)
        update = self._start_times.convert(list_event.update, self._unix_now(), self._now(), is_news)
        self.exchange.apply_list_update(replace(list_event, update=update))

    # Reload

    def reload_configuration(self, read: Callable[[], Configuration]) -> None:
        """Applies the address of the command channel; all other changes apply on a restart only.

        A file that is missing, half written or unusable changes nothing, so that SIGHUP never ends the
        process.
        """
        try:
            new = read()
        except FormatError as error:
            self.counters.add("reloads_refused")
            self.log("reload_refused", error=str(error))
            return
        old = self.configuration
        names = ("name", "listen", "settings", "sockets", "memory_mb")
        only_on_restart = [name for name in names if getattr(new, name) != getattr(old, name)]
        channel_moved = new.channel != self.channel.address
        self.counters.add("reloads_taken_over")
        self.log("reload", channel_moved=channel_moved, only_on_restart=only_on_restart)
        self.channel.change_address(new.channel)

    def reload(self, read: Callable[[], Configuration]) -> None:
        """Handles SIGHUP: reloads the platform's configuration and the operator's file independently."""
        self.reload_configuration(read)
        if self.subsystems is not None:
            self.subsystems.reload()

    # Shutdown

    def begin_shutdown(self, signalled_at: float) -> None:
        """Handles SIGTERM: begins the notice period; a second signal changes nothing.

        The platform counts the time until SIGKILL from the signal, which came at ``signalled_at`` on the
        reactor's clock; a busy loop handles it later.
        """
        if self.phase is not Phase.SERVING:
            return
        self._enter(Phase.NOTICE)
        handled_after_s = max(0.0, self.clock.seconds() - signalled_at)
        longest_deadline_s = max(
            (query_class.deadline_s for query_class in self.configuration.settings.classes), default=0.0
        )
        kill_after_s = min(longest_deadline_s, MAX_COUNTED_DEADLINE_S) + NOTICE_PERIOD_S
        drain_s = max(NOTICE_PERIOD_S, kill_after_s - KILL_MARGIN_S - FLUSH_TIMEOUT_S)
        self._drain_deadline = signalled_at + drain_s
        self.exchange.begin_shutdown(self._drain_deadline - DECISION_MARGIN_S)
        if self.subsystems is not None:
            self.subsystems.leave()
        self.clock.callLater(max(0.0, NOTICE_PERIOD_S - handled_after_s), self._drain)

    def _drain(self) -> None:
        self._enter(Phase.DRAINING)
        self._port.stopListening()
        self._await_answers()

    def _await_answers(self) -> None:
        """Waits for answers until the drain deadline, then fails all open queries.

        No query stays without an answer when the process exits.
        """
        if self.exchange.unanswered_count and self.clock.seconds() < self._drain_deadline:
            self.clock.callLater(POLL_INTERVAL_S, self._await_answers)
            return
        self._enter(Phase.CLOSING)
        if self.exchange.unanswered_count:
            self.log("given_up_at_exit", queries=self.exchange.unanswered_count)
            self.exchange.fail_open_queries("server shutdown in progress")
        self.channel.stop()
        self.sessions.close_at_exit()
        self._flush_deadline = self.clock.seconds() + FLUSH_TIMEOUT_S
        self._await_sessions()

    def _await_sessions(self) -> None:
        """Waits for sessions to send their last answers until the flush deadline, then stops."""
        if len(self.sessions) and self.clock.seconds() < self._flush_deadline:
            self.clock.callLater(POLL_INTERVAL_S / 5, self._await_sessions)
            return
        self.sessions.abort_all()
        if self.subsystems is not None:
            self.subsystems.stop()
        self._enter(Phase.STOPPED)
        self.log_counters()
        self._stop()

    def log_counters(self) -> None:
        """Logs all counters of the front and its subsystems."""
        subsystem_counters = self.subsystems.counters() if self.subsystems is not None else {}
        self.log(
            "counters",
            open=self.exchange.unanswered_count,
            **self.counters.snapshot(),
            **subsystem_counters,
            **getattr(self.clock, "failed_calls", {}),
        )


def format_listen_error(error: twisted_error.CannotListenError) -> str:
    """One line of text with the address and the reason."""
    return f"cannot listen on {error.interface}:{error.port}: {error.socketError}"
