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
  0  done; for diff: no difference
  1  refused; for diff: the documents differ; for explain: no line about the request
  2  usage error or unusable setting
  3  another change came first (version conflict)
  4  no answer, or the store is not available; nothing was changed
  5  the admin token is missing or unknown
  6  a withdrawal is pending: a quorum has not applied it yet
  7  the outcome of a change is unknown; read before trying again"""
"""Text that ``--help`` ends with."""
