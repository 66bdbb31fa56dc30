"""Experiments with real processes: each prints figures, and none is a test."""

from . import agent_kills, latency, many_flows, overload, rolling, store_outage

ALL = (agent_kills, latency, many_flows, overload, rolling, store_outage)
