"""Starts deployments of gaugevalve on one machine, for trials and for proofs/real_processes."""
