"""Measure what users care about, with the product beside baselines in the same run."""
