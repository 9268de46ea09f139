"""Entry point of wagtailctl, the command line client for operators."""

import os
import sys

import trio

from wagtailbay.ctl import run

EXIT_INTERRUPTED = 130


def main() -> None:
    """Run wagtailctl and exit with its status."""
    try:
        sys.exit(trio.run(run, sys.argv[1:], os.environ))
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader of standard output, such as a pager, has exited; no more output is possible.
        sys.stderr.close()
        sys.exit(0)


if __name__ == "__main__":
    main()
