"""Starts the front with the configuration that ``NODE_CONFIG`` names and the log on standard output.

SIGTERM begins the shutdown, SIGHUP reloads the configuration, SIGUSR1 logs the counters.
"""

from __future__ import annotations

import os
import signal
import sys
import time
from pathlib import Path
from typing import Any

from twisted.internet import error as twisted_error
from twisted.python import log as twisted_log

from micahold.counters import Counters
from micahold.program.configuration import Configuration, parse_configuration
from micahold.program.front import Front, Subsystems, format_listen_error
from micahold.program.log import Log
from micahold.program.loop import install
from micahold.settings import FormatError

EXIT_BAD_CONFIGURATION = 2
EXIT_CANNOT_LISTEN = 1


def print_error(text: str) -> None:
    """Prints ``text`` on standard error after the program's name."""
    print(f"micahold: {text}", file=sys.stderr, flush=True)


def read_configuration() -> Configuration:
    """The configuration in the file that ``NODE_CONFIG`` names; ``FormatError`` where it is not usable."""
    path = os.environ.get("NODE_CONFIG")
    if not path:
        raise FormatError("NODE_CONFIG is not set")
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise FormatError(f"cannot read {path}: {error.strerror}") from None
    return parse_configuration(data)


def create_subsystems(path: str, front: Front, loop: Any, log: Log) -> Subsystems:
    """The subsystems that the operator's file at ``path`` enables; ``FormatError`` where it is not usable."""
    try:
        from micahold.program.operator import OperatorSubsystems
        from micahold.program.operator_file import OperatorFileError
    except ModuleNotFoundError as error:
        raise FormatError(f"{error.name} is missing: pip install 'micahold[gossip]'") from None
    try:
        return OperatorSubsystems(path, front, loop, log)
    except OperatorFileError as error:
        raise FormatError("\nmicahold: ".join(error.problems)) from None


def start() -> int:
    """Runs the front until it stops and returns the exit code.

    The code is 0 after SIGTERM, 1 where the address cannot be bound, 2 where the configuration is not usable.
    """
    # SIGHUP must never end the process: it is ignored until its handler is set.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        configuration = read_configuration()
    except FormatError as error:
        print_error(str(error))
        return EXIT_BAD_CONFIGURATION
    loop = install()
    counters = Counters()
    log = Log(sys.stdout.fileno(), time.time, counters)
    front = Front(configuration, loop, time.monotonic, log, counters, loop.stop)

    if operator_file := os.environ.get("MICAHOLD_OPERATOR"):
        try:
            front.subsystems = create_subsystems(operator_file, front, loop, log)
        except FormatError as error:
            print_error(str(error))
            return EXIT_BAD_CONFIGURATION

    def log_twisted_error(event: dict[str, Any]) -> None:
        """Logs an exception that Twisted caught: it ended one session or call, and the front goes on."""
        if event.get("isError"):
            failure = event.get("failure")
            text = failure.getBriefTraceback() if failure is not None else repr(event.get("message"))
            counters.add("errors_caught")
            log("error_caught", error=text)

    twisted_log.startLoggingWithObserver(log_twisted_error, setStdout=False)

    def set_signal_handlers() -> None:
        signal.signal(signal.SIGTERM, lambda *_: loop.callFromThread(front.begin_shutdown, loop.seconds()))
        signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(front.reload, read_configuration))
        signal.signal(signal.SIGUSR1, lambda *_: loop.callFromThread(front.log_counters))

    # Before the front listens, since clients may have sent queries from then on; and again once the reactor
    # runs, which installs handlers of its own.
    set_signal_handlers()
    loop.callWhenRunning(set_signal_handlers)
    try:
        front.start()
    except twisted_error.CannotListenError as error:
        print_error(format_listen_error(error))
        return EXIT_CANNOT_LISTEN
    loop.run()
    log.flush()
    return 0
