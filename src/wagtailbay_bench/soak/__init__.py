"""Run real gateway processes under randomized faults and check what callers and targets see."""
