"""Experiments with real processes: each prints figures, and none is a test."""
