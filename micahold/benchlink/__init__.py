"""Runs controllers behind the simulator's line protocol: message codec, controller host and entry point."""
