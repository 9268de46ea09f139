"""Command line for operators, based on the administration API."""

from wagtailbay.ctl.run import run

__all__ = ["run"]
