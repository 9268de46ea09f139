"""Entry point of a gateway VM on the users' platform."""

import signal


def main() -> None:
    """Run the gateway VM; a reload signal does not end a process that is still starting."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported after that, since the imports take most of the start.
    from wagtailbay.programs.gateway_process import run_process

    run_process()


if __name__ == "__main__":
    main()
