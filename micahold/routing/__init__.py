"""Connects client sessions and engine connections through the controller; they meet nowhere else."""
