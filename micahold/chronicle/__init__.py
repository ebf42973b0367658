"""Append-only event log of a front: a crash or a damaged disk loses records, never a query.

``records`` defines the record types and ``frames`` the segment format. ``clocks`` bounds the clock offsets
between fronts, so that their events can be ordered, and ``lifecycles`` reconstructs the outcome of each
query. docs/chronicle.md describes the design.
"""
