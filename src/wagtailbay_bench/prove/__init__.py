"""Prove what must always hold by checking histories of concurrent runs under faults."""
