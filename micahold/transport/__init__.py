"""Twisted protocols and factories: client sessions, HTTP calls to engines, and the command channel."""
