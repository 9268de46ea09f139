"""Check the safety properties of the system on histories recorded under injected faults."""
