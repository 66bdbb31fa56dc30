"""Experiments with real processes: each prints figures, and none is a test."""

from . import agent_kills, latency, overload, store_outage

ALL = (agent_kills, latency, overload, store_outage)
