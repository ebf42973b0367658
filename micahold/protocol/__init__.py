"""Parsers and encoders without I/O: they accept input in any split and bound the data that they buffer."""
