"""Global traffic steering for platforms shared by many service teams."""

__version__ = "0.1.0"
