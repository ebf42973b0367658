"""A member on real sockets that lies, for tests on loopback.

``python -m micahold.laboratory.lying_peer FILE NAME ENGINE ...``: FILE is an operator's file, the engines are
those it calls failing. It ends after ``LASTS_S`` by itself.
"""

from __future__ import annotations

import sys
import time
from typing import Any

from twisted.internet import reactor as twisted_reactor

from micahold.laboratory.liars import FalseFailureReporter
from micahold.membership.service import GossipService
from micahold.program.operator import group_options, read_settings_and_keys

LASTS_S = 60.0


def main(path: str, name: str, engines: list[str]) -> None:
    """Run until the time is up or the process is ended."""
    settings, hand, keyring = read_settings_and_keys(path)
    assert settings.gossip is not None and hand is not None and keyring is not None
    reactor: Any = twisted_reactor
    group = FalseFailureReporter(group_options(settings.gossip, name, 1), hand, keyring, time.time(), 1)
    peer = GossipService(
        reactor, time.time, group, settings.gossip.listen, lambda *_, **__: None, lambda _: None
    )
    peer.start()
    group.update_engine_list(time.time(), set(engines), set())
    reactor.callLater(LASTS_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], sys.argv[3:])
