"""Entry point: ``python -m gateway`` runs one gateway process until SIGTERM."""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # The default action of SIGHUP would terminate the process.  The signal is ignored until the event loop
    # handles it, as there is no configuration to reload before that.  This precedes the imports below, as
    # they take most of the start-up time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import os
import sys

import uvloop

from gateway.config import ConfigError
from gateway.log_setup import configure_logging
from gateway.serve import serve

EXIT_UNUSABLE_CONFIGURATION = 2


def main() -> int:
    """Run the gateway and return the exit status.

    An unusable configuration is reported in one line on standard error.
    """
    configure_logging(sys.stderr)
    try:
        uvloop.run(serve(os.environ))
    except ConfigError as error:
        sys.stderr.write(f"gateway: {' '.join(str(error).split())}\n")
        return EXIT_UNUSABLE_CONFIGURATION
    return 0


if __name__ == "__main__":
    sys.exit(main())
