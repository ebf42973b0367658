"""Starts the front: configuration from ``NODE_CONFIG``, log on standard output.

SIGTERM ends it, SIGHUP has it read the configuration again, SIGUSR1 prints its counters.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import error
from twisted.python import log as twisted_log

from micahold.counters import Counters
from micahold.program.configuration import Configuration, parse_configuration
from micahold.program.front import Front, Subsystems, format_listen_error, forward_unix_clock
from micahold.program.log import Log
from micahold.program.loop import install
from micahold.settings import FormatError

EXIT_BAD_CONFIGURATION, EXIT_CANNOT_LISTEN = 2, 1


def print_error(text: str) -> None:
    print(f"micahold: {text}", file=sys.stderr, flush=True)


def read_configuration() -> Configuration:
    path = os.environ.get("NODE_CONFIG")
    if not path:
        raise FormatError("NODE_CONFIG is not set")
    try:
        data = Path(path).read_bytes()
    except OSError as problem:
        raise FormatError(f"cannot read {path}: {problem.strerror}") from None
    return parse_configuration(data)


def create_subsystems(path: str, front: Front, loop: Any, now: Callable[[], float], log: Log) -> Subsystems:
    """What the operator's own file switches on; ``FormatError`` where it can't be used."""
    try:
        from micahold.program.operator import OperatorSubsystems
        from micahold.program.operator_file import OperatorFileError
    except ModuleNotFoundError as problem:
        raise FormatError(f"{problem.name} is missing: pip install 'micahold[gossip]'") from None
    try:
        return OperatorSubsystems(path, front, loop, now, log)
    except OperatorFileError as problem:
        raise FormatError("\nmicahold: ".join(problem.problems)) from None


def start() -> int:
    """0 after SIGTERM, 1 where the address can't be had, 2 where the configuration can't be used."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until it can be heeded: it must never end the program
    try:
        configuration = read_configuration()
    except FormatError as problem:
        print_error(str(problem))
        return EXIT_BAD_CONFIGURATION
    loop = install()
    now, counters = forward_unix_clock(), Counters()
    log = Log(sys.stdout.fileno(), now, counters)
    front = Front(configuration, loop, now, log, counters, loop.stop)

    if operator := os.environ.get("MICAHOLD_OPERATOR"):
        try:
            front.subsystems = create_subsystems(operator, front, loop, now, log)
        except FormatError as problem:
            print_error(str(problem))
            return EXIT_BAD_CONFIGURATION

    def note_error(event: dict[str, Any]) -> None:
        """What Twisted caught: the one session or call has ended, the program goes on."""
        if event.get("isError"):
            failure = event.get("failure")
            text = failure.getBriefTraceback() if failure is not None else repr(event.get("message"))
            counters.add("errors_caught")
            log("error_caught", error=text)

    twisted_log.startLoggingWithObserver(note_error, setStdout=False)

    def set_up() -> None:
        # After start, so that these stand in place of the reactor's own.
        signal.signal(signal.SIGTERM, lambda *_: loop.callFromThread(front.begin_shutdown))
        signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(front.reload, read_configuration))
        signal.signal(signal.SIGUSR1, lambda *_: loop.callFromThread(front.log_counters))

    loop.callWhenRunning(set_up)
    try:
        front.start()
    except error.CannotListenError as problem:
        print_error(format_listen_error(problem))
        return EXIT_CANNOT_LISTEN
    loop.run()
    log.flush()
    return 0
