"""Keep the tasks of a process running when one of them raises an unexpected error."""

from wagtailbay.supervision.tasks import contains_broken_invariant, keep_running, run_isolated

__all__ = ["contains_broken_invariant", "keep_running", "run_isolated"]
