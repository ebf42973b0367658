"""The pages of one query's result, in order, and whether each of them is known to be whole.

A page whose stated length is too short looks like a whole page with fewer rows. Its rest follows on the same
connection, so a page counts only once something else followed there, or nothing did for some time.
"""

from __future__ import annotations

from dataclasses import dataclass

from micahold.protocol.errors import ProtocolError
from micahold.protocol.http_messages import HttpResponse
from micahold.protocol.mysql_results import ResultMark, ResultSetEncoder
from micahold.transport.engine_connection import EngineConnection


@dataclass(slots=True, frozen=True)
class _Page:
    response: HttpResponse
    connection: EngineConnection
    begins_at: ResultMark


class ResultPages:
    """The pages read so far; ``len`` is the number of the next one.

    Of pages before the last only the encoded rows are kept.
    """

    def __init__(self) -> None:
        self._pages: list[_Page] = []
        self._encoder = ResultSetEncoder()

    def __len__(self) -> int:
        return len(self._pages)

    @property
    def first_response(self) -> HttpResponse | None:
        """The response with page 0, or None before it is read."""
        return self._pages[0].response if self._pages else None

    def add(self, response: HttpResponse, connection: EngineConnection) -> None:
        """Adds the next page; raises ``ProtocolError``, and keeps nothing of it, if it can't be used."""
        if response.has_trailing_data:
            raise ProtocolError("data behind a page")
        begins_at = self._encoder.mark()
        self._encoder.add_page(response.body)
        if self._pages:
            self._pages[-1].response.body = b""
        if len(self._pages) > 1:
            self._pages[-1].response.headers = {}
        self._pages.append(_Page(response, connection, begins_at))

    def confirm(self) -> bool:
        """Whether all pages are known to be whole; reads what has arrived behind those that are not."""
        is_confirmed = True
        for page in self._pages:
            if not page.response.is_end_confirmed:
                page.connection.confirm_last_response()
            is_confirmed = is_confirmed and page.response.is_end_confirmed
        return is_confirmed

    def remove_from_first_cut(self) -> bool:
        """Removes the first page that is cut off and all after it; False if there is none."""
        cut = next((n for n, page in enumerate(self._pages) if page.response.has_trailing_data), None)
        if cut is None:
            return False
        self._encoder.remove_behind(self._pages[cut].begins_at)
        del self._pages[cut:]
        return True

    def encode(self) -> bytes:
        """The complete response to the client; ends the use of the pages."""
        return self._encoder.finish()
