"""Small fakes shared by tests."""
