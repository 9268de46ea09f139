"""Test doubles and factories shared between tests."""
