"""One HTTP call to an engine, and the errors of calls that end without a response."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from micahold.protocol.http_messages import HttpResponse
from micahold.transport.directory import EngineListing
from micahold.transport.response_matching import ExpectedResponse

if TYPE_CHECKING:
    from micahold.transport.engine_connection import EngineConnection


class CallError(Exception):
    """Base class of the errors of calls that ended without a response."""


class CallNotSentError(CallError):
    """Nothing was sent: the call was no longer valid when a connection was available."""


class ConnectError(CallError):
    """No connection could be established, so nothing was sent."""

    def __init__(self, refused: bool) -> None:
        super().__init__("connection refused" if refused else "connection not established in time")
        self.refused = refused


class ConnectionBrokenError(CallError):
    """The connection ended after the request was sent and before the response was complete."""


class UnreadableResponseError(CallError):
    """The engine sent data that is not an HTTP response."""


class MismatchedResponseError(CallError):
    """The response does not name what was asked, so it answers another call or none."""


class Call:
    """One request to one engine: queued, then written, then ended.

    ``response`` fires with the response or with a ``CallError``. ``prepare`` is called right before the first
    byte; it returns the request, or None if nothing is to be sent any more. ``expected`` tells the answer
    from other responses.
    """

    def __init__(
        self,
        listing: EngineListing,
        due_at: float,
        prepare: Callable[[], bytes | None],
        expected: ExpectedResponse,
    ) -> None:
        self.listing = listing
        self.expected = expected
        self.due_at = due_at
        self.prepare: Callable[[], bytes | None] | None = prepare
        self.response: Deferred[HttpResponse] = Deferred()
        self.written = self.ended = False
        self.new_connection = False
        self.was_delayed = False  # made anew once, since the process stood still before it was sent
        self.connection: EngineConnection | None = None  # until the call ends
        self.answered_on: EngineConnection | None = None  # the connection that brought the response

    def succeed(self, response: HttpResponse) -> None:
        """Ends the call with its response, unless it has already ended."""
        if not self.ended:
            self.ended = True
            self.prepare = None  # it refers to the caller; dropping it avoids a reference cycle
            self.response.callback(response)

    def fail(self, reason: CallError) -> None:
        """Ends the call with an error, unless it has already ended."""
        if not self.ended:
            self.ended = True
            self.prepare = None
            self.response.errback(Failure(reason))

    def break_connection(self) -> None:
        """Aborts the connection that carries the call, so that bytes not yet delivered are discarded.

        The call fails; a call that is not on a connection is left as it is.
        """
        if self.connection is not None:
            self.connection.abort_call()
            self.fail(ConnectionBrokenError("given up"))

    def abandon(self, abort_connection: bool = False) -> None:
        """Ends the call without firing ``response``.

        ``abort_connection`` also aborts the connection, so that bytes not yet delivered are discarded.
        """
        self.ended = True
        self.prepare = None
        self.response = Deferred()  # the previous one refers to the caller; dropping it avoids a cycle
        if abort_connection and self.connection is not None:
            self.connection.abort_call()
