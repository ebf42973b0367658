"""The decisions on the simulator's wire: codec, instance host, entry point."""
