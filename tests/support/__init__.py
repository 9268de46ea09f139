"""Share fakes between tests."""
