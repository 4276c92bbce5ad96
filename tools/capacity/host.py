"""Host process with several nodes of one failure domain.

Nodes share a process, so that a few hundred of them fit on one machine.
Figures of processor time and memory are divided by the number of nodes
after the cost of an empty process is taken off.
"""

from __future__ import annotations

import argparse
import asyncio
import functools
import gc
import json
import logging
import pathlib
import resource
import time

import tornado.httpserver
import tornado.netutil
import tornado.web

from damaskpier import application
from damaskpier.cmd import node
from damaskpier import config
from damaskpier.mesh import model
from tools.capacity import delay

ANNOUNCE_INTERVAL_S = 1.0

SETTINGS = """\
[node]
id = {node_id}
region = {region}
failure_domain = {domain}
host = {host}
[platform]
address = {platform}
[log]
level = warning
"""


class HostedNodes:
    """Nodes of this process and their figures.

    ``applied`` holds the applied configuration versions by node id, each with
    its time in monotonic seconds.
    """

    def __init__(self, args: argparse.Namespace) -> None:
        self._args = args
        self.apps: list[application.Application] = []
        self.applied: dict[str, list[tuple[int, float]]] = {}

    async def start(self) -> None:
        """Start the nodes one after another and announce a worker to each."""
        for index in range(self._args.first, self._args.last):
            app = self._make_node(index)
            self.apps.append(app)
            await app.start()
            self._announce(app, index)
        self._task = asyncio.create_task(self._announce_all())

    async def stop(self) -> None:
        """Stop all nodes."""
        self._task.cancel()
        await asyncio.gather(*(app.stop() for app in self.apps))

    async def restart(self, number: int) -> None:
        """Replace a node by a new one, as in a planned restart.

        :param number: position of the node in this process
        """
        position = number % len(self.apps)
        index = self._args.first + position
        await self.apps[position].stop()
        app = self._make_node(index)
        self.apps[position] = app
        await app.start()
        self._announce(app, index)

    def stats(self) -> dict:
        """Return the figures of the process so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return {
            'nodes': len(self.apps),
            'cpu_s': usage.ru_utime + usage.ru_stime,
            'rss_kb': _resident_kb(),
            'monotonic': time.monotonic(),
            'applied': self.applied,
            'trees': [
                app.service('tree').status()._asdict() for app in self.apps
            ],
            'known': [
                len(app.service('membership').nodes()) for app in self.apps
            ],
        }

    def _make_node(self, index: int) -> application.Application:
        app = node.make_node(self._settings(index))
        app.events.connect(
            'config-applied',
            functools.partial(self._config_applied, f'n{index:04d}'),
        )
        return app

    def _settings(self, index: int) -> config.Settings:
        args = self._args
        return config.loads(
            SETTINGS.format(
                node_id=f'n{index:04d}',
                region=f'region-{args.region}',
                domain=f'domain-{args.region}-{args.domain}',
                host=f'127.0.{args.region}.{args.domain}',
                platform=args.platform,
            )
        )

    def _config_applied(self, node_id: str, snapshot) -> None:
        # All processes of the machine share the monotonic clock, so that times
        # of several host processes can be compared.
        entry = snapshot.version, time.monotonic()
        self.applied.setdefault(node_id, []).append(entry)

    def _announce(self, app: application.Application, index: int) -> None:
        app.service('membership').apply_announcement(
            model.Announcement(
                service=f's{index % self._args.services:02d}',
                version='v1',
                address='127.0.0.1',
                port=1,
                slots=20,
                connections=110,
            )
        )

    async def _announce_all(self) -> None:
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            for index, app in enumerate(self.apps, self._args.first):
                self._announce(app, index)


class _StatsHandler(tornado.web.RequestHandler):
    def initialize(self, fleet: HostedNodes) -> None:
        self._fleet = fleet

    def get(self) -> None:
        self.write(self._fleet.stats())


class _RestartHandler(tornado.web.RequestHandler):
    def initialize(self, fleet: HostedNodes) -> None:
        self._fleet = fleet

    async def post(self, number: str) -> None:
        await self._fleet.restart(int(number))


def _resident_kb() -> int:
    gc.collect()
    text = pathlib.Path('/proc/self/status').read_text(encoding='ascii')
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1])
    return 0


async def _run(args: argparse.Namespace) -> None:
    delay.install(asyncio.get_running_loop(), (args.region, args.domain))
    fleet = HostedNodes(args)
    await fleet.start()
    sockets = tornado.netutil.bind_sockets(0, '127.0.0.1')
    server = tornado.httpserver.HTTPServer(
        tornado.web.Application(
            [
                ('/stats', _StatsHandler, {'fleet': fleet}),
                (
                    r'/restart/(\d+)',
                    _RestartHandler,
                    {'fleet': fleet},
                ),
            ]
        )
    )
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    args.ready_file.with_suffix('.part').write_text(json.dumps({'port': port}))
    args.ready_file.with_suffix('.part').rename(args.ready_file)
    await asyncio.Event().wait()


def main() -> None:
    """Run the nodes until the process is killed."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--first', type=int, required=True)
    parser.add_argument('--last', type=int, required=True)
    parser.add_argument('--region', type=int, required=True)
    parser.add_argument('--domain', type=int, required=True)
    parser.add_argument('--services', type=int, required=True)
    parser.add_argument('--platform', required=True)
    parser.add_argument('--ready-file', type=pathlib.Path, required=True)
    logging.basicConfig(level=logging.WARNING)
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()
