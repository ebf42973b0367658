"""Many controllers in one process, nothing shared between them; one batch in, one reply out."""

from __future__ import annotations

import sys
from typing import Any

from micahold import interface as api
from micahold.benchlink import codec
from micahold.controller import Controller
from micahold.settings import FormatError, decode_settings, seconds


def complain(text: str) -> None:
    """One line on standard error; standard output is the wire's alone."""
    print(f"micahold: {text}", file=sys.stderr, flush=True)


class Host:
    """The instances of this process and the numbered lists that the wire hands to all of them."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.lists: dict[int, tuple[api.EngineEntry, ...]] = {}
        self.named: dict[
            str, tuple[set[int], set[str]]
        ] = {}  # requests and engines each instance was told of

    def answer(self, batch: Any) -> dict[str, Any]:
        """The reply to one batch; ``FormatError`` when it is not one."""
        if not isinstance(batch, dict) or not isinstance(batch.get("ts_ns"), int):
            raise FormatError("a batch is an object with an integer 'ts_ns'")
        groups = batch.get("groups")
        if not isinstance(groups, list):
            raise FormatError("a batch has an array 'groups'")
        now = seconds(batch["ts_ns"])
        replies = []
        for group in groups:
            if not isinstance(group, dict) or not isinstance(group.get("who"), str):
                raise FormatError("a group is an object with a text 'who'")
            if not isinstance(group.get("news"), list):
                raise FormatError(f"group {group['who']!r} has no array 'news'")
            out = self._serve(group["who"], now, group["news"])
            if out:
                replies.append({"who": group["who"], "out": out})
        return {"groups": replies}

    def _serve(self, who: str, now: float, news: list[Any]) -> list[dict[str, Any]]:
        out: list[dict[str, Any]] = []
        events: list[api.Event] = []
        self.named.setdefault(who, (set(), set()))
        for item in news:
            if not isinstance(item, dict):
                raise FormatError(f"an event of {who!r} is not an object")
            what = item.get("what")
            try:
                if what == "launch":
                    self._decide(who, now, events, out)
                    events = []
                    self._launch(who, item, out)
                elif what == "stop":
                    self._decide(who, now, events, out)
                    events = []
                    self.controllers.pop(who, None)
                elif what == "sheet":
                    lines = tuple(codec.decode_entry(line) for line in item.get("members_list") or [])
                    self.lists[item.get("table", 0)] = lines
                elif what == "update":
                    update = codec.decode_update(item, self.lists)
                    self.named[who][1].update(line.engine for line in update.entries)
                    events.append(update)
                else:
                    event = codec.decode_event(item)
                    if event is not None:
                        self._check_names(who, event)
                        events.append(event)
            except FormatError as error:
                complain(f"{who}: {error}")
        self._decide(who, now, events, out)
        return out

    def _check_names(self, who: str, event: api.Event) -> None:
        """Tell of an outcome or note for a request or engine never named; the decisions ignore it."""
        requests, engines = self.named[who]
        if isinstance(event, api.QueryArrived):
            requests.add(event.query)
        elif isinstance(event, api.AttemptEnded | api.AttemptStatus | api.AttemptStreaming):
            if event.query not in requests:
                complain(f"{who}: unknown request {event.query}")
            elif event.engine not in engines:
                complain(f"{who}: unknown engine {event.engine!r}")

    def _launch(self, who: str, item: dict[str, Any], out: list[dict[str, Any]]) -> None:
        self.controllers.pop(who, None)
        self.named[who] = (set(), set())
        settings = decode_settings(item.get("env") or {})
        try:
            self.controllers[who] = Controller(settings, int(item.get("salt") or 0))
        except Exception as error:  # any error of the decisions is the wire's fault message, never hidden
            self._fault(who, error, out)

    def _decide(self, who: str, now: float, events: list[api.Event], out: list[dict[str, Any]]) -> None:
        if not events:
            return
        controller = self.controllers.get(who)
        if controller is None:
            complain(f"{who}: events for an instance that is not running")
            return
        try:
            out.extend(codec.encode_action(action) for action in controller.handle(now, events))
        except Exception as error:  # as above
            self._fault(who, error, out)

    def _fault(self, who: str, error: Exception, out: list[dict[str, Any]]) -> None:
        self.controllers.pop(who, None)
        text = f"{type(error).__name__}: {error}"
        complain(f"{who}: fault in the decisions: {text}")
        out.append({"what": "fatal", "line": text})
