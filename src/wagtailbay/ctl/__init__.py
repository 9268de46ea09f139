"""Give operators a command line against the administration API."""

from wagtailbay.ctl.run import run

__all__ = ["run"]
