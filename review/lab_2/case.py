"""What all cases share: a site of engines, a channel and fronts, and the exit codes."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from types import TracebackType
from typing import Any

from lab_2.channel import Channel, member
from lab_2.engine import Engine
from lab_2.front import Front
from lab_2.records import Record

LONGEST_S = 110.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Site:
    """Engines, the command channel and fronts; all of them end with it."""

    def __init__(
        self,
        record: Record,
        settings: dict[str, Any],
        engines: int = 3,
        fronts: int = 1,
        slow_channel_s: float = 0.0,
        **config: Any,
    ) -> None:
        self.record = record
        self.settings = settings
        self.engines = [Engine(f"s-{number}", record) for number in range(1, engines + 1)]
        self.channel = Channel(record)
        self.channel.answer_after_s = slow_channel_s
        self.front_count = fronts
        self.config = config
        self.fronts: list[Front] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    async def __aenter__(self) -> Site:
        try:
            await self._start()
        except BaseException:
            await self.end()
            raise
        return self

    async def _start(self) -> None:
        for engine in self.engines:
            await engine.start()
        await self.channel.start()
        for number in range(self.front_count):
            config = {
                "channel": self.channel.address,
                "known": self.known(),
                "settings": {**self.settings, "my_number": number, "siblings": self.front_count},
                **self.config,
            }
            front = Front(f"n{number + 1}", Path(self._folder.name), self.record, config)
            self.fronts.append(front)
            front.start()
        for front in self.fronts:
            await front.wait_ready()

    def address(self, engine: Engine) -> str:
        """The address under which the list names an engine."""
        return f"{engine.host}:{engine.port}"

    def known(self) -> dict[str, Any]:
        """The events up to now."""
        members = [member(engine.name, self.address(engine)) for engine in self.engines]
        cursor = self.channel.cursor
        nodes = {"revision": cursor, "complete": True, "members": members}
        return {"cursor": cursor, "cmds": [{"cursor": cursor, "nodes": nodes}]}

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        for front in self.fronts:
            front.end()
            if os.environ.get("FRONT_LOGS"):
                Path(os.environ["FRONT_LOGS"], f"{front.name}.log").write_bytes(front.log_path.read_bytes())
        for engine in self.engines:
            engine.die()
        self.channel.close_listener()
        self.channel.break_connections()
        self._folder.cleanup()


async def _play_until_ended(play: Callable[[Record], Awaitable[None]], record: Record) -> None:
    """Plays the case; SIGTERM cancels it, so that what it started ends."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await asyncio.wait_for(play(record), LONGEST_S)


def run(play: Callable[[Record], Awaitable[None]], folder: Path) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record()
    record.note("case", trouble=TROUBLE)
    try:
        asyncio.run(_play_until_ended(play, record))
    except (Exception, asyncio.CancelledError):
        record.note("error", trace=traceback.format_exc().replace("\n", " | "))
        record.write(folder / "record.txt", "could not run")
        print("could not run:", traceback.format_exc(limit=2), file=sys.stderr)
        sys.exit(2)
    verdict = "broken" if record.broken else "held"
    record.write(folder / "record.txt", verdict)
    print(verdict, *record.broken[:5], sep="\n  ")
    sys.exit(1 if record.broken else 0)
