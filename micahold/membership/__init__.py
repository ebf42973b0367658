"""Gossip membership: instances discover each other, detect failed ones, and share what they see of engines.

The modules are pure and joined by ``group``; only ``signing`` and ``service`` do cryptography and I/O.
docs/gossip.md describes the design.
"""
