"""Demonstrations, proofs and measurements that run the programs as processes on loopback."""
