"""The error that the parsers of this package raise."""

from __future__ import annotations


class ProtocolError(ValueError):
    """Input that violates its protocol or exceeds a size limit; the text names the violation."""
