"""Tests of micahold; none needs the simulator."""
