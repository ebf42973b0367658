"""Connects client sessions, engine connections and the controller; no other package depends on all three."""
