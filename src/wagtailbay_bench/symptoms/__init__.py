"""Reproduces each symptom of docs/operators.md in a running deployment and prints its status."""
