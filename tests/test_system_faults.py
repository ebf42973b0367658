"""Faults of system calls end when they are to end, whatever the experiment's process does."""

from __future__ import annotations

import errno
import time
from pathlib import Path

from micahold.laboratory.system_faults import SystemFaults


def test_fault_with_a_span_ends_without_the_process_that_set_it(tmp_path: Path) -> None:
    """Guards against spans that grow with its delays: answers came too late that the plan itself held."""
    experiment, front = SystemFaults(tmp_path / "faults"), SystemFaults(tmp_path / "faults")
    experiment.fail("send", errno.ENOMEM, seconds=0.02)
    experiment.fail("recv", errno.EINTR, times=1, seconds=60.0)
    assert front.take("send") == errno.ENOMEM
    assert [front.take("recv"), front.take("recv")] == [errno.EINTR, 0]
    time.sleep(0.02)
    assert front.take("send") == 0
    assert experiment.calls("send") == 2
