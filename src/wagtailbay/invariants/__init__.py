"""Report a broken invariant, which stops the process."""


class BrokenInvariantError(Exception):
    """Raised when the program's own state contradicts itself; never caused by input alone."""
