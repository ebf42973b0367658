"""The command channel: server-sent events over long-lived HTTP responses, resumed from a cursor.

The server may take long to answer a call, or never answer one that it has accepted, and the two look the
same. A call without an answer is therefore kept while further ones are made, and the first answer counts.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from micahold.counters import Counters
from micahold.protocol.errors import ProtocolError
from micahold.protocol.event_stream import ServerSentEvent
from micahold.transport.channel_call import ChannelCall

# The server sends a comment every second; a stream is dropped after two missed in a row. A call that is not
# answered within this time is followed by another, and each further one after twice the time.
SILENCE_TIMEOUT_S = 2.5
# Bounds the time until the next call is made, and so how late a change is heard of if only new calls are
# answered.
MAX_ANSWER_WAIT_S = 5.0
# A call whose connection is not established within this time is followed by another.
CONNECT_WAIT_S = 1.0
# Calls that wait at the same time.
MAX_CALLS = 3
# Backoff between connections that fail or end early: doubles from the first value up to the second. After a
# stable connection, the next attempt follows immediately.
INITIAL_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 0.4
# A connection that has lasted this long is stable and resets the backoff.
STABLE_CONNECTION_S = 0.5
MAX_EVENT_NUMBER_DIGITS = 18


class CommandChannel:
    """Keeps one event stream connected and delivers each event once, in order.

    ``on_event`` is called with the data of each event whose number is above ``cursor``. It returns False for
    data that it can't parse.
    """

    def __init__(
        self,
        clock: Any,
        address: tuple[str, int],
        cursor: int,
        on_event: Callable[[bytes], bool],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.clock = clock
        self.address = address
        self.cursor = cursor
        self.on_event = on_event
        self.counters = counters
        self.log = log
        self._calls: list[ChannelCall] = []  # oldest first
        self._answer_wait_s = SILENCE_TIMEOUT_S
        self._reconnect_delay = 0.0
        self._stopped = False
        self._next_call: Any = None  # delayed call that makes the next call
        self._last_unreadable = -1  # number of the last event that could not be parsed

    @property
    def transport(self) -> Any:
        """The transport of the newest call that is connected; None while there is none."""
        return next((call.transport for call in reversed(self._calls) if call.transport is not None), None)

    def start(self) -> None:
        """Makes the first call."""
        self._make_call()

    def stop(self) -> None:
        """Ends all calls for good."""
        self._stopped = True
        self._cancel_next_call()
        self._abort_calls(self._calls)

    def change_address(self, address: tuple[str, int]) -> None:
        """Calls a new address at once and resumes from the cursor.

        Data that still arrives on old connections is ignored. Without this, drains could be received late:
        the server at the old address may keep the connections open and send no more events.
        """
        if address == self.address or self._stopped:
            return
        self.address = address
        self._reconnect_delay = 0.0
        self._answer_wait_s = SILENCE_TIMEOUT_S
        self.counters.add("channel_moves")
        self._abort_calls(self._calls)
        self._make_call()

    # Calls

    def _make_call(self) -> None:
        self._call_next_after(CONNECT_WAIT_S, self._handle_silence)
        self.counters.add("channel_connects")
        call = ChannelCall(self.clock, self.address, self.cursor, self)
        self._calls.append(call)
        call.start()

    def _call_next_after(self, delay: float, make_call: Callable[[], None]) -> None:
        self._cancel_next_call()
        self._next_call = self.clock.callLater(delay, make_call)

    def _cancel_next_call(self) -> None:
        if self._next_call is not None and self._next_call.active():
            self._next_call.cancel()

    def _abort_calls(self, calls: list[ChannelCall]) -> None:
        for call in list(calls):
            self._calls.remove(call)
            call.abort()

    def _handle_silence(self) -> None:
        """Makes another call after a time without an answer; those that may still be answered are kept."""
        newest = self._calls[-1]
        if newest.is_answered:
            self.log("channel_silent")
            self._abort_calls([newest])  # a stream that misses its comments is broken
        else:
            is_connected = newest.connected_at is not None
            self.log("channel_unanswered", connected=is_connected, calls=len(self._calls))
            if is_connected:
                self._answer_wait_s = min(MAX_ANSWER_WAIT_S, 2 * self._answer_wait_s)
        if len(self._calls) >= MAX_CALLS:
            self._abort_calls([self._least_promising_call()])
        self._make_call()

    def _least_promising_call(self) -> ChannelCall:
        """The newest call whose connection is not established, else the newest."""
        unconnected = [call for call in self._calls if call.connected_at is None]
        return (unconnected or self._calls)[-1]

    def call_connected(self, call: ChannelCall) -> None:
        """Gives the newest call its time for an answer."""
        if call is self._calls[-1]:
            self._call_next_after(self._answer_wait_s, self._handle_silence)

    def stream_received(self, call: ChannelCall) -> None:
        """Ends all other calls, and waits for the next comment."""
        self._abort_calls([other for other in self._calls if other is not call])
        self._answer_wait_s = SILENCE_TIMEOUT_S
        self._call_next_after(SILENCE_TIMEOUT_S, self._handle_silence)

    def event_received(self, call: ChannelCall, event: ServerSentEvent) -> None:
        """Delivers an event and advances the cursor; ignores events that are repeated, older or unnumbered.

        An event that can't be parsed may have been corrupted in transit: ``ProtocolError`` makes the channel
        reconnect and request it once more. If it fails again, the cursor moves past it.
        """
        if not event.last_event_id.isdigit() or len(event.last_event_id) > MAX_EVENT_NUMBER_DIGITS:
            return
        number = int(event.last_event_id)
        if number <= self.cursor:
            return
        if not self.on_event(event.data) and number != self._last_unreadable:
            self._last_unreadable = number
            raise ProtocolError(f"event {number}")
        self.cursor = number
        self.counters.add("channel_events")

    def call_unreadable(self, call: ChannelCall, error: ProtocolError) -> None:
        """Logs why the call ends."""
        self.log("channel_unreadable", error=str(error))

    def call_ended(self, call: ChannelCall) -> None:
        """Makes the next call after the backoff, if it was the newest that has ended."""
        was_newest = call is self._calls[-1]
        self._calls.remove(call)
        if not was_newest:
            return
        if call.connected_at is not None and self.clock.seconds() - call.connected_at >= STABLE_CONNECTION_S:
            self._reconnect_delay = 0.0
        self._call_next_after(self._reconnect_delay, self._make_call)
        self._reconnect_delay = min(
            MAX_RECONNECT_DELAY_S, self._reconnect_delay * 2 or INITIAL_RECONNECT_DELAY_S
        )
