"""Constants of the ctl slice."""

from typing import Final

PROGRAM: Final = "wagtailctl"
EXIT_SUCCESS: Final = 0
EXIT_REFUSED: Final = 1
EXIT_USAGE: Final = 2
EXIT_CONFLICT: Final = 3
EXIT_UNAVAILABLE: Final = 4
EXIT_UNAUTHORIZED: Final = 5
EXIT_PENDING: Final = 6
EXIT_OUTCOME_UNKNOWN: Final = 7
EXIT_STATUS_HELP: Final = """exit status:
  0  success; for diff: no difference
  1  refused; for diff: the documents differ; for explain: no log line about the request
  2  usage error or invalid setting
  3  version conflict: the document has changed in the meantime
  4  no response, or the store is unavailable; nothing was changed
  5  the admin token is missing or unknown
  6  a withdrawal is pending: a quorum has not applied it yet
  7  the outcome of a change is unknown; check the current state before retrying"""
"""Epilog of ``--help``."""
