"""Simulations and experiments, and the figures that they print. The front never imports this package."""
