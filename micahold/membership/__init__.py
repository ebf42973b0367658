"""Instances find each other, know who lives, and share what they saw of engines.

Pure cores (``group`` joins them) with thin I/O around: ``signing``, ``service``. docs/gossip.md is the
design.
"""
