"""Bring about each symptom of docs/operators.md in a running deployment and show its status."""
