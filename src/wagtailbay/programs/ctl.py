"""Run wagtailctl."""

import os
import sys

import trio

from wagtailbay.ctl import run

EXIT_INTERRUPTED = 130


def main() -> None:
    """Run the program."""
    try:
        sys.exit(trio.run(run, sys.argv[1:], os.environ))
    except KeyboardInterrupt:
        sys.exit(EXIT_INTERRUPTED)
    except BrokenPipeError:
        # The reader, such as a pager, has closed the pipe; nothing is left to tell it.
        sys.stderr.close()
        sys.exit(0)


if __name__ == "__main__":
    main()
