"""Settings of property tests: reproducible examples, no example database and no deadline."""

from hypothesis import settings

PROPERTY = settings(derandomize=True, database=None, deadline=None, max_examples=100)
