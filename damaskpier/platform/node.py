"""Entry point of a node's process on the platform."""

from __future__ import annotations

import functools
import os
import pathlib
import sys

import uvloop

from damaskpier import application
from damaskpier import config
from damaskpier import errors
from damaskpier.fleet import allowance_exchange
from damaskpier.fleet import configuration
from damaskpier.fleet import departures
from damaskpier.fleet import evacuations
from damaskpier.fleet import exchange
from damaskpier.fleet import ingress
from damaskpier.fleet import peers
from damaskpier.fleet import rollouts
from damaskpier.fleet import router
from damaskpier.fleet import startup_check
from damaskpier.fleet import store_contact
from damaskpier.fleet import store_restore
from damaskpier.fleet import worker
from damaskpier import logs
from damaskpier.mesh import membership
from damaskpier.mesh import timing
from damaskpier import metrics
from damaskpier.platform import endpoints
from damaskpier.platform import headers
from damaskpier.platform import settings
from damaskpier.platform import store
from damaskpier import settings_file
from damaskpier.util import garbage

EXIT_BAD_SETTINGS = 2


def make_node(cfg: config.Settings) -> application.Application:
    """Return the application of a node; it has not started yet."""
    codec = headers.PlatformHeaderCodec()
    # The service ``worker`` removes a silent upstream itself, so that the
    # membership must not expire announcements.
    times = timing.Timing(announce_expiry_s=1e9)
    return application.make_application(
        cfg,
        (
            metrics.setup,
            store.setup,
            departures.setup,
            functools.partial(membership.setup, timing=times),
            configuration.setup,
            rollouts.setup,
            evacuations.setup,
            functools.partial(worker.setup, codec=codec),
            functools.partial(startup_check.setup, codec=codec),
            peers.setup,
            exchange.setup,
            store_restore.setup,
            store_contact.setup,
            allowance_exchange.setup,
            router.setup,
            endpoints.setup,
            functools.partial(ingress.setup, codec=codec),
        ),
    )


def main() -> int:
    """Run a node until it is stopped by a signal.

    :returns: exit status of the process
    """
    path = pathlib.Path(os.environ.get(settings.PATH_VARIABLE, ''))
    try:
        cfg = settings.load(path)
    except errors.SettingsError as exc:
        print(f'{exc}\n{exc.code.action}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(cfg, sys.stdout)
    app = make_node(cfg)
    settings_file.setup(
        app, path, functools.partial(settings.loads, source=str(path))
    )
    garbage.reduce_collections()
    uvloop.run(app.run())
    return 0


if __name__ == '__main__':
    sys.exit(main())
