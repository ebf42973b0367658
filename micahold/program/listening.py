"""The start of a listener while the machine lacks what it takes."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

# socket(2) and bind(2): the machine lacks something that it will have again.
SHORTAGE_ERRORS = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}
)
# How long a start waits for what the machine lacks.
MAX_LISTEN_WAIT_S = 10.0
# Until a call that failed is made again.
RETRY_DELAY_S = 0.01


def listen_despite_shortage(
    listen: Callable[[], Any],
    sleep: Callable[[float], None] = time.sleep,
    now: Callable[[], float] = time.monotonic,
) -> Any:
    """Calls ``listen`` until it succeeds, for ``MAX_LISTEN_WAIT_S`` while the machine lacks what it takes.

    It blocks, so it is for the start of the process only. Raises ``CannotListenError`` at once if the address
    is in use or can't be used.
    """
    give_up_at = now() + MAX_LISTEN_WAIT_S
    while True:
        try:
            return listen()
        except CannotListenError as error:
            if error.socketError.errno not in SHORTAGE_ERRORS or now() >= give_up_at:
                raise
        sleep(RETRY_DELAY_S)
