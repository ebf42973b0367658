"""Tells whether a response is the answer to a call to an engine.

HTTP/1.1 has no request ids: a response answers the oldest open request of its connection. That alone does not
hold here, since an engine may send a response a second time, some milliseconds late. Bytes on a connection
count as the answer to a call only if all of these hold:

1. Nothing unread or unasked came before. What has arrived on a connection is read right before a call is
   written, and data without an open call closes the connection.
2. The last response was read at least the reuse delay ago, so that a second copy of it has arrived by then.
   The next page of the same result needs no delay, because condition 3 tells the two apart.
3. The response names what was asked wherever the protocol lets it: the number of the page, the number of all
   pages at the end of a query, the status of a DELETE.

A response that fails condition 3 is dropped, and its connection is closed: the answer may still come there
and would be taken for the answer to the next call.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from micahold.protocol.http_messages import HttpResponse

PAGE_COUNT_HEADER = b"x-sheets"
PAGE_NUMBER_HEADER = b"x-sheet"
OK = 200
NOT_YET_OVER = 202
DELETE_ACKNOWLEDGED = 204


@dataclass(slots=True, frozen=True)
class ExpectedResponse:
    """What tells the answer to a call from other responses.

    ``attempt`` is the number of the attempt that the call belongs to. ``is_unique`` says that no response to
    another call of this attempt matches.
    """

    matches: Callable[[HttpResponse], bool]
    attempt: int
    is_unique: bool = False


def expect_status(attempt: int) -> ExpectedResponse:
    """The answer to the POST or to a poll for the status."""
    return ExpectedResponse(_is_status, attempt)


def expect_page(attempt: int, number: int, is_retry: bool) -> ExpectedResponse:
    """The answer to a GET of the further page ``number``; a retry may get the answer to the GET before it."""
    return ExpectedResponse(partial(_is_page, number), attempt, is_unique=not is_retry)


def expect_delete(attempt: int) -> ExpectedResponse:
    """The answer to a DELETE."""
    return ExpectedResponse(_is_delete, attempt)


def _is_status(response: HttpResponse) -> bool:
    if response.status == OK:
        return PAGE_COUNT_HEADER in response.headers and PAGE_NUMBER_HEADER not in response.headers
    return response.status != DELETE_ACKNOWLEDGED


def _is_page(number: int, response: HttpResponse) -> bool:
    if response.status == OK:
        return response.headers.get(PAGE_NUMBER_HEADER) == b"%d" % number
    return response.status not in (NOT_YET_OVER, DELETE_ACKNOWLEDGED)


def _is_delete(response: HttpResponse) -> bool:
    return response.status == DELETE_ACKNOWLEDGED
