"""Exception for broken invariants, which stops the process."""


class BrokenInvariantError(Exception):
    """Raised when the program's state is inconsistent; input alone never causes it."""
