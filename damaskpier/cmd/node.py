"""Program ``damaskpier-node``: the process beside each upstream instance."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import sys
from typing import TYPE_CHECKING

from damaskpier import application
from damaskpier import config
from damaskpier import errors
from damaskpier import logs
from damaskpier.mesh import configuration
from damaskpier.mesh import membership
from damaskpier.mesh import tree
from damaskpier import metrics
from damaskpier.rollout import decider
from damaskpier.rollout import service as rollout_service
from damaskpier.rpc import server
from damaskpier.store import audit
from damaskpier.store import http
from damaskpier.store import lease
from damaskpier.traffic import admin
from damaskpier.traffic import frontend
from damaskpier.traffic import peers
from damaskpier.traffic import upstream

if TYPE_CHECKING:
    from collections.abc import Sequence

EXIT_BAD_SETTINGS = 2

SERVICE_SETUPS = (
    metrics.setup,
    http.setup,
    lease.setup,
    audit.setup,
    configuration.setup,
    membership.setup,
    rollout_service.setup,
    upstream.setup,
    peers.setup,
    server.setup,
    tree.setup,
    decider.setup,
    frontend.setup,
    admin.setup,
)


def make_node(cfg: config.Settings) -> application.Application:
    """Return the application of a node with all services, not started."""
    return application.make_application(cfg, SERVICE_SETUPS)


def main(argv: Sequence[str] | None = None) -> int:
    """Run a node until SIGTERM or SIGINT.

    :param argv: options, None for ``sys.argv``
    :returns: exit status
    """
    parser = argparse.ArgumentParser(prog='damaskpier-node')
    parser.add_argument('--config', required=True, type=pathlib.Path)
    args = parser.parse_args(argv)
    try:
        cfg = config.load(args.config)
    except errors.SettingsError as exc:
        print(f'{exc}\n{exc.code.action}', file=sys.stderr)
        return EXIT_BAD_SETTINGS
    logs.configure(cfg)
    asyncio.run(_run(cfg))
    return 0


async def _run(cfg: config.Settings) -> None:
    app = make_node(cfg)
    path = cfg.text('node', 'ready_file')
    if path:
        app.events.connect(
            'started', lambda: _write_ready_file(app, pathlib.Path(path))
        )
    await app.run()


def _write_ready_file(
    app: application.Application, path: pathlib.Path
) -> None:
    ports = {
        'http_port': app.service('frontend').port,
        'rpc_port': app.service('rpc').port,
        'admin_port': app.service('admin').port,
    }
    # Renamed into place, so that a reader never sees a partial file.
    partial = path.with_suffix('.part')
    partial.write_text(json.dumps(ports), encoding='utf-8')
    partial.rename(path)


if __name__ == '__main__':
    sys.exit(main())
