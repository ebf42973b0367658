"""What happened, from the program's own records: a crash or a bad disk costs records, never a query.

``records`` and ``frames`` are the form, ``clocks`` puts moments of several fronts in order, ``lifecycles``
counts what became of each query. docs/chronicle.md is the design.
"""
