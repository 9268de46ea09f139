"""Configuration of all tests."""

from hypothesis import settings

# The same examples on every run and no limit on the time of one example, so that the verdict does
# not depend on the load of the machine.
settings.register_profile("wagtailbay", derandomize=True, deadline=None, database=None)
settings.load_profile("wagtailbay")
