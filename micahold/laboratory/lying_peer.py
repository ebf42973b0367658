"""A lying member on real sockets, for tests on loopback.

``python -m micahold.laboratory.lying_peer FILE NAME ENGINE ...`` reports the given engines as failing. FILE
is an operator's file and NAME the member's name. The process ends by itself after ``RUN_TIME_S``.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet import reactor as twisted_reactor

from micahold.laboratory.liars import FalseFailureReporter
from micahold.membership.service import GossipService
from micahold.program.operator import group_options, read_settings_and_keys

RUN_TIME_S = 60.0


def main(path: str, name: str, engines: list[str]) -> None:
    """Run the lying member for ``RUN_TIME_S`` or until the process is ended.

    The operator's file has to name a gossip group and a signing key.
    """
    settings, signer, keyring = read_settings_and_keys(path)
    assert settings.gossip is not None and signer is not None and keyring is not None
    reactor: Any = twisted_reactor
    now = time.monotonic()
    options = group_options(settings.gossip, name, 1)
    group = FalseFailureReporter(options, signer, keyring, now, 1, time.time() - now)
    peer = GossipService(
        reactor,
        time.monotonic,
        time.time,
        group,
        settings.gossip.listen,
        lambda *_, **__: None,
        lambda _: None,
    )
    peer.start()
    group.update_engine_list(now, set(engines), set())
    reactor.callLater(RUN_TIME_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
