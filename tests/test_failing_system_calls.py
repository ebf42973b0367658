"""Waits, accepts and transfers of a real front fail as Linux documents, once and for two seconds."""

from __future__ import annotations

import errno
from pathlib import Path

import pytest

from micahold.laboratory.loopback_site import LoopbackSite
from micahold.laboratory.system_faults import SHORT
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
