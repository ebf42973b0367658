"""Gossip membership among instances: discovery, failure detection and shared failure reports about engines.

``group`` combines the pure modules, which do no I/O; ``signing`` (key files) and ``service`` (sockets) are
thin I/O layers around them. The design is described in docs/gossip.md.
"""
