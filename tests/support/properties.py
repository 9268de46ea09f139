"""Set how property tests run: the same examples each time, without files or time limits."""

from hypothesis import settings

PROPERTY = settings(derandomize=True, database=None, deadline=None, max_examples=100)
