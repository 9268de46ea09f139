"""Drive real processes on loopback for demonstrations, proofs and measurements."""
