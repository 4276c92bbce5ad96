"""A fleet in a few processes, and what is read from it."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple
import urllib.request

REGIONS = 3
DOMAINS_PER_REGION = 2
NODES_PER_PROCESS = 20
SERVICES = 41
START_LIMIT_S = 90.0
POLL_S = 0.02


class Reading(NamedTuple):
    """Figures of the whole fleet at one time.

    Bytes and messages count each message once, where it was sent.
    """

    at: float
    cpu_s: float
    rss_kb: int
    sent: dict[str, tuple[int, int]]  # messages and bytes by kind
    received: dict[str, tuple[int, int]]
    busiest: dict[str, int]  # bytes sent and received by node
    roles: dict[str, str]
    platform_calls: dict[str, int]
    applied: dict[str, list[list[float]]]  # version and time by node
    subtree: int


class Deployment:
    """Stand-in platform and host processes with nodes.

    :param nodes: number of nodes
    """

    def __init__(self, nodes: int, services: int = SERVICES) -> None:
        self._nodes = nodes
        self._services = services
        self._dir = tempfile.TemporaryDirectory(prefix='capacity-')
        self._processes: list[subprocess.Popen] = []
        self._host_processes: dict[int, subprocess.Popen] = {}
        self._hosts: list[int] = []
        self.platform = ''

    @property
    def processes(self) -> int:
        """Return the number of host processes."""
        return len(self._hosts)

    async def start(self) -> None:
        """Start everything and wait until each node knows all others."""
        ready = self._path('platform.json')
        self._spawn('damaskpier.cmd.fake_platform', '--ready-file', ready)
        self.platform = f'127.0.0.1:{(await self._port(ready))}'
        waiting = [
            self._start_host(*part, place=place)
            for place, part in enumerate(self._parts())
        ]
        self._hosts = [await self._port(ready) for ready in waiting]
        await self._until_complete(self._nodes)

    def stop(self) -> None:
        """End the processes that were started here."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._dir.cleanup()

    async def restart(self, number: int) -> None:
        """Replace one node in a planned way."""
        port = self._hosts[number % len(self._hosts)]
        path = f'/restart/{number // len(self._hosts)}'
        await asyncio.to_thread(
            fetch, f'127.0.0.1:{port}', path, method='POST'
        )

    def kill_domain(self, region: int, domain: int) -> int:
        """Kill the nodes of a failure domain; return their number."""
        lost = 0
        for place, part in enumerate(self._parts()):
            if part[2:] == (region, domain):
                self._host_processes[place].kill()
                self._host_processes[place].wait()
                lost += part[1] - part[0]
        return lost

    async def return_domain(self, region: int, domain: int) -> None:
        """Start the nodes of a failure domain again."""
        for place, part in enumerate(self._parts()):
            if part[2:] == (region, domain):
                ready = self._start_host(*part, place=place)
                self._hosts[place] = await self._port(ready)

    async def until_alive(self, nodes: int) -> None:
        """Wait until all living nodes form one tree and know only it."""
        await self._until_complete(nodes)

    def stats(self) -> list[dict[str, Any]]:
        """Return the figures of each host process."""
        return [
            fetch(f'127.0.0.1:{port}', '/stats')
            for port, process in zip(
                self._hosts, self._ordered_processes(), strict=True
            )
            if process.poll() is None
        ]

    def read(self) -> Reading:
        """Return the figures of the whole fleet."""
        stats = self.stats()
        sent: dict[str, tuple[int, int]] = {}
        received: dict[str, tuple[int, int]] = {}
        busiest, roles = {}, {}
        applied: dict[str, list[list[float]]] = {}
        for host, one in enumerate(stats):
            for index, tree in enumerate(one['trees']):
                name = f'{host}/{index}'
                roles[name] = tree['role']
                busiest[name] = _add(sent, tree['sent'])
                busiest[name] += _add(received, tree['received'])
            applied.update(one['applied'])
        return Reading(
            time.monotonic(),
            sum(one['cpu_s'] for one in stats),
            sum(one['rss_kb'] for one in stats),
            sent,
            received,
            busiest,
            roles,
            fetch(self.platform, '/admin/counters'),
            applied,
            max(tree['subtree'] for one in stats for tree in one['trees']),
        )

    def _parts(self) -> list[tuple[int, int, int, int]]:
        """Return first and last node, region and domain per process."""
        domains = REGIONS * DOMAINS_PER_REGION
        parts = []
        for domain in range(domains):
            first = self._nodes * domain // domains
            last = self._nodes * (domain + 1) // domains
            for start in range(first, last, NODES_PER_PROCESS):
                end = min(last, start + NODES_PER_PROCESS)
                region = domain // DOMAINS_PER_REGION + 1
                parts.append((start, end, region, domain % 2 + 1))
        return parts

    def _ordered_processes(self) -> list[subprocess.Popen]:
        return [
            self._host_processes[place] for place in range(len(self._hosts))
        ]

    def _start_host(
        self, first: int, last: int, region: int, domain: int, *, place: int
    ) -> pathlib.Path:
        ready = self._path(f'host-{first}.json')
        ready.unlink(missing_ok=True)
        options = {
            'first': first,
            'last': last,
            'region': region,
            'domain': domain,
            'services': self._services,
            'platform': self.platform,
            'ready-file': ready,
        }
        args = [f'--{name}={value}' for name, value in options.items()]
        self._host_processes[place] = self._spawn('tools.capacity.host', *args)
        return ready

    def _spawn(self, module: str, *args: object) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, '-m', module, *map(str, args)],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            cwd=pathlib.Path(__file__).parents[2],
            env={**os.environ, 'PYTHONPATH': '.'},
        )
        self._processes.append(process)
        return process

    def _path(self, name: str) -> pathlib.Path:
        return pathlib.Path(self._dir.name, name)

    async def _port(self, ready: pathlib.Path) -> int:
        limit = time.monotonic() + START_LIMIT_S
        while not ready.exists():
            if time.monotonic() > limit:
                raise TimeoutError(f'{ready.name} was not written')
            await asyncio.sleep(POLL_S)
        return json.loads(ready.read_text())['port']

    async def _until_complete(self, nodes: int) -> None:
        limit = time.monotonic() + START_LIMIT_S
        while True:
            stats = self.stats()
            known = [count for one in stats for count in one['known']]
            subtrees = [t['subtree'] for one in stats for t in one['trees']]
            if set(known) == {nodes} and max(subtrees) == nodes:
                return
            if time.monotonic() > limit:
                raise TimeoutError(
                    f'nodes known {min(known)}..{max(known)}, largest tree '
                    f'{max(subtrees)} of {nodes}'
                )
            await asyncio.sleep(POLL_S)


def fetch(address: str, path: str, method: str = 'GET') -> Any:
    """Return the JSON answer of a stand-in or a host process, if any."""
    request = urllib.request.Request(f'http://{address}{path}', method=method)
    with urllib.request.urlopen(request) as answer:
        return json.loads(answer.read() or 'null')


def _add(total: dict[str, tuple[int, int]], counts: dict) -> int:
    """Add counts by kind; return their bytes."""
    size = 0
    for kind, (messages, number) in counts.items():
        old = total.get(kind, (0, 0))
        total[kind] = (old[0] + messages, old[1] + number)
        size += number
    return size
