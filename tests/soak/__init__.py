"""Randomized soak test: real processes under faults, guarantees checked."""
