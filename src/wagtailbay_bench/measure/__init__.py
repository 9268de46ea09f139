"""Scenarios that compare the product with baselines under the same traffic."""
