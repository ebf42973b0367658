"""Runs many independent controllers in one process and answers the simulator's batches."""

from __future__ import annotations

import sys
from typing import Any

from micahold import interface as api
from micahold.benchlink import codec
from micahold.controller import Controller
from micahold.settings import FormatError, decode_settings, seconds_from_ns


def write_error(text: str) -> None:
    """Writes one line to standard error; standard output is reserved for replies."""
    print(f"micahold: {text}", file=sys.stderr, flush=True)


class ControllerHost:
    """The controllers of this process, by instance name, and the numbered engine lists that they all use."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.engine_lists: dict[int, tuple[api.EngineEntry, ...]] = {}
        # For each instance, the query numbers and engine names that it has received.
        self.known_names: dict[str, tuple[set[int], set[str]]] = {}

    def handle_batch(self, batch: Any) -> dict[str, Any]:
        """Returns the reply to one batch; raises ``FormatError`` if it is malformed.

        A malformed event within a batch is reported on standard error and skipped.
        """
        if not isinstance(batch, dict) or not isinstance(batch.get("ts_ns"), int):
            raise FormatError("a batch must be an object with an integer 'ts_ns'")
        groups = batch.get("groups")
        if not isinstance(groups, list):
            raise FormatError("a batch must have an array 'groups'")
        now = seconds_from_ns(batch["ts_ns"])
        replies = []
        for group in groups:
            if not isinstance(group, dict) or not isinstance(group.get("who"), str):
                raise FormatError("a group must be an object with a string 'who'")
            if not isinstance(group.get("news"), list):
                raise FormatError(f"group {group['who']!r} has no array 'news'")
            actions = self._handle_group(group["who"], now, group["news"])
            if actions:
                replies.append({"who": group["who"], "out": actions})
        return {"groups": replies}

    def _handle_group(self, instance: str, now: float, messages: list[Any]) -> list[dict[str, Any]]:
        actions: list[dict[str, Any]] = []
        events: list[api.Event] = []
        self.known_names.setdefault(instance, (set(), set()))
        for message in messages:
            if not isinstance(message, dict):
                raise FormatError(f"an event of {instance!r} is not an object")
            message_kind = message.get("what")
            try:
                if message_kind == "launch":
                    self._run_controller(instance, now, events, actions)
                    events = []
                    self._launch_controller(instance, message, actions)
                elif message_kind == "stop":
                    self._run_controller(instance, now, events, actions)
                    events = []
                    self.controllers.pop(instance, None)
                elif message_kind == "sheet":
                    entries = tuple(
                        codec.decode_engine_entry(entry) for entry in message.get("members_list") or []
                    )
                    self.engine_lists[message.get("table", 0)] = entries
                elif message_kind == "update":
                    update = codec.decode_list_update(message, self.engine_lists)
                    self.known_names[instance][1].update(entry.engine for entry in update.entries)
                    events.append(update)
                else:
                    event = codec.decode_event(message)
                    if event is not None:
                        self._report_unknown_names(instance, event)
                        events.append(event)
            except FormatError as error:
                write_error(f"{instance}: {error}")
        self._run_controller(instance, now, events, actions)
        return actions

    def _report_unknown_names(self, instance: str, event: api.Event) -> None:
        """Records the queries of an instance; reports attempt events that name an unknown query or engine.

        The events are still passed on; the controller ignores them.
        """
        queries, engines = self.known_names[instance]
        if isinstance(event, api.QueryArrived):
            queries.add(event.query)
        elif isinstance(event, api.AttemptEnded | api.AttemptStatus | api.AttemptStreaming):
            if event.query not in queries:
                write_error(f"{instance}: unknown request {event.query}")
            elif event.engine not in engines:
                write_error(f"{instance}: unknown engine {event.engine!r}")

    def _launch_controller(
        self, instance: str, message: dict[str, Any], actions: list[dict[str, Any]]
    ) -> None:
        self.controllers.pop(instance, None)
        self.known_names[instance] = (set(), set())
        settings = decode_settings(message.get("env") or {})
        try:
            self.controllers[instance] = Controller(settings, int(message.get("salt") or 0))
        except Exception as error:  # the protocol reports any controller exception as a fatal message
            self._report_fault(instance, error, actions)

    def _run_controller(
        self, instance: str, now: float, events: list[api.Event], actions: list[dict[str, Any]]
    ) -> None:
        if not events:
            return
        controller = self.controllers.get(instance)
        if controller is None:
            write_error(f"{instance}: events for an instance that is not running")
            return
        try:
            actions.extend(codec.encode_action(action) for action in controller.handle(now, events))
        except Exception as error:  # reported as a fatal message, as in _launch_controller
            self._report_fault(instance, error, actions)

    def _report_fault(self, instance: str, error: Exception, actions: list[dict[str, Any]]) -> None:
        self.controllers.pop(instance, None)
        text = f"{type(error).__name__}: {error}"
        write_error(f"{instance}: controller fault: {text}")
        actions.append({"what": "fatal", "line": text})
