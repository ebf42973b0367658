"""Waits, accepts and transfers of a real front fail as Linux documents, once and for two seconds."""

from __future__ import annotations

import asyncio
import errno
import signal
from functools import partial
from pathlib import Path

import pytest
from twisted.internet.error import CannotListenError

from micahold.laboratory.loopback_site import LoopbackSite
from micahold.laboratory.system_faults import SHORT
from micahold.program.listening import MAX_LISTEN_WAIT_S, listen_despite_shortage
from tests.failing_calls import ACCEPT_ERRORS, TRANSFER_ERRORS, run_for_each, use_while_failing


@pytest.mark.parametrize("call, errors", [("accept", ACCEPT_ERRORS), ("epoll_wait", (errno.EINTR,))])
def test_failing_call_ends_no_query_and_does_not_spin(
    tmp_path: Path, call: str, errors: tuple[int, ...]
) -> None:
    async def scenario(site: LoopbackSite, error: int) -> None:
        await use_while_failing(site, call, error)

    run_for_each(tmp_path, errors, scenario)


@pytest.mark.parametrize("call", ["recv", "send"])
def test_transfer_that_fails_or_is_short_ends_no_query_and_does_not_spin(tmp_path: Path, call: str) -> None:
    async def scenario(site: LoopbackSite, error: int) -> None:
        await use_while_failing(site, call, error)

    run_for_each(tmp_path, (errno.ENOBUFS, errno.ENOMEM, errno.EINTR), scenario)


@pytest.mark.parametrize("call", ["recv", "send"])
def test_transfers_of_one_byte_serve_every_query(tmp_path: Path, call: str) -> None:
    async def scenario(site: LoopbackSite, error: int) -> None:
        site.faults[0].fail(call, error)
        assert (await site.query("load", work_s=0.4, wait_s=4.0)).answer == "served"
        site.faults[0].clear(call)

    run_for_each(tmp_path, (SHORT,), scenario)


@pytest.mark.parametrize(
    "call, errors", [("accept", ACCEPT_ERRORS), ("recv", TRANSFER_ERRORS), ("send", TRANSFER_ERRORS)]
)
def test_single_failure_of_a_call_ends_no_query(tmp_path: Path, call: str, errors: tuple[int, ...]) -> None:
    async def scenario(site: LoopbackSite, error: int) -> None:
        for _ in range(3):
            site.faults[0].fail(call, error, times=1)
            assert (await site.query("load", work_s=0.3, wait_s=4.0)).answer == "served"

    run_for_each(tmp_path, errors, scenario)


def test_front_that_starts_while_the_machine_lacks_sockets_serves_afterwards(tmp_path: Path) -> None:
    """Guards against a front that ends at its start because socket(2) fails for a moment."""

    async def scenario(site: LoopbackSite, error: int) -> None:
        site.fronts[0].kill()
        site.faults[0].fail("socket", error, seconds=1.0)
        await site.start_fronts()
        assert (await site.query("lookup", work_s=0.1, wait_s=4.0)).answer == "served"

    run_for_each(tmp_path, (errno.ENOBUFS, errno.ENFILE), scenario)


def test_signals_at_the_start_of_a_front_are_handled_once_it_runs(tmp_path: Path) -> None:
    """Guards against a front that SIGTERM kills between its listen and its loop, with what clients sent."""

    async def scenario(site: LoopbackSite, error: int) -> None:
        front = site.fronts[0]
        front.kill()
        calls_before = site.faults[0].calls("socket")
        site.faults[0].fail("socket", error, seconds=2.0)
        front.start()
        while site.faults[0].calls("socket") == calls_before:
            await asyncio.sleep(0.01)
        for number in (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM):
            front.send_signal(number)
        assert await front.wait_for_exit(10.0) == 0
        assert [event["event"] for event in front.events()].count("counters") >= 2  # SIGUSR1 and the exit
        await site.start_fronts()

    run_for_each(tmp_path, (errno.ENOBUFS,), scenario)


def test_start_waits_for_a_listener_for_a_bounded_time_and_never_for_an_address_in_use() -> None:
    times = [0.0]

    def fail_to_listen(error_number: int) -> None:
        raise CannotListenError("127.0.0.1", 1, OSError(error_number, "fails"))

    def sleep(seconds: float) -> None:
        times[0] += seconds

    for error_number, waited_s in ((errno.ENOMEM, MAX_LISTEN_WAIT_S), (errno.EADDRINUSE, 0.0)):
        times[0] = 0.0
        with pytest.raises(CannotListenError):
            listen_despite_shortage(partial(fail_to_listen, error_number), sleep, lambda: times[0])
        assert times[0] == pytest.approx(waited_s, abs=0.02)
