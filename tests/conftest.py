"""The same verdict every time, and the list of known failures.

Hypothesis draws the same examples at each run and has no deadline. The tests that KNOWN-RED.txt names run and
may fail; the summary prints them.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "fixed", derandomize=True, database=None, deadline=None, suppress_health_check=list(HealthCheck)
)
settings.load_profile("fixed")

KNOWN_FAILURES = Path(__file__).parent.parent / "KNOWN-RED.txt"
# A line such as "   test     tests/test_name.py::test_function", with or without a parameter in brackets.
TEST_LINE = re.compile(r"^\s+test\s+(tests/\S+::\S+)\s*$", re.MULTILINE)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the tests in KNOWN-RED.txt as expected to fail; a test that is listed and passes is printed."""
    listed = set(TEST_LINE.findall(KNOWN_FAILURES.read_text()))
    for item in items:
        if listed & {item.nodeid, item.nodeid.partition("[")[0]}:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))
