"""Fleet of many nodes in a few processes, and the figures read from it."""

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
SERVICE_COUNT = 41
START_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.02


class Reading(NamedTuple):
    """Figures of the whole fleet at one time.

    ``at`` is monotonic seconds. ``sent`` and ``received`` count each message
    once, where it was sent or received. ``subtree`` is the size of the
    largest tree.
    """

    at: float
    cpu_s: float
    rss_kb: int
    sent: dict[str, tuple[int, int]]  # messages and bytes by kind
    received: dict[str, tuple[int, int]]
    bytes_by_node: dict[str, int]  # sent and received
    roles: dict[str, str]
    platform_calls: dict[str, int]
    applied: dict[str, list[list[float]]]  # (version, time)
    subtree: int


class Deployment:
    """Stand-in platform and host processes with several nodes each.

    :param nodes: number of nodes
    :param services: number of services that the workers announce
    """

    def __init__(self, nodes: int, services: int = SERVICE_COUNT) -> None:
        self._nodes = nodes
        self._services = services
        self._dir = tempfile.TemporaryDirectory(prefix='capacity-')
        self._processes: list[subprocess.Popen] = []
        self._host_processes: dict[int, subprocess.Popen] = {}
        self._host_ports: list[int] = []
        self.platform = ''

    @property
    def host_process_count(self) -> int:
        """Return the number of host processes."""
        return len(self._host_ports)

    async def start(self) -> None:
        """Start all processes and wait until each node lists all others."""
        ready = self._path('platform.json')
        self._spawn('damaskpier.cmd.fake_platform', '--ready-file', ready)
        self.platform = f'127.0.0.1:{(await self._wait_for_port(ready))}'
        ready_files = [
            self._start_host(*host_range, host_index=host_index)
            for host_index, host_range in enumerate(self._host_ranges())
        ]
        self._host_ports = [
            await self._wait_for_port(ready) for ready in ready_files
        ]
        await self._wait_until_complete(self._nodes)

    def stop(self) -> None:
        """Kill the processes that were started here."""
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._dir.cleanup()

    async def restart(self, number: int) -> None:
        """Stop one node as planned and start a new one in its place."""
        port = self._host_ports[number % len(self._host_ports)]
        path = f'/restart/{number // len(self._host_ports)}'
        await asyncio.to_thread(
            fetch, f'127.0.0.1:{port}', path, method='POST'
        )

    def kill_domain(self, region: int, domain: int) -> int:
        """Kill the nodes of a failure domain and return their number."""
        lost = 0
        for host_index, host_range in enumerate(self._host_ranges()):
            if host_range[2:] == (region, domain):
                self._host_processes[host_index].kill()
                self._host_processes[host_index].wait()
                lost += host_range[1] - host_range[0]
        return lost

    async def restart_domain(self, region: int, domain: int) -> None:
        """Start the nodes of a failure domain again."""
        for host_index, host_range in enumerate(self._host_ranges()):
            if host_range[2:] == (region, domain):
                ready = self._start_host(*host_range, host_index=host_index)
                self._host_ports[host_index] = await self._wait_for_port(ready)

    async def wait_until_converged(self, nodes: int) -> None:
        """Wait until the running nodes form one tree and list only each other.

        :param nodes: number of running nodes
        :raises TimeoutError: if they did not within ``START_TIMEOUT_S``
        """
        await self._wait_until_complete(nodes)

    def stats(self) -> list[dict[str, Any]]:
        """Return the figures of each running host process."""
        return [
            fetch(f'127.0.0.1:{port}', '/stats')
            for port, process in zip(
                self._host_ports, self._ordered_processes(), strict=True
            )
            if process.poll() is None
        ]

    def read(self) -> Reading:
        """Return the figures of the whole fleet."""
        stats = self.stats()
        sent: dict[str, tuple[int, int]] = {}
        received: dict[str, tuple[int, int]] = {}
        bytes_by_node, roles = {}, {}
        applied: dict[str, list[list[float]]] = {}
        for host, host_stats in enumerate(stats):
            for index, tree in enumerate(host_stats['trees']):
                name = f'{host}/{index}'
                roles[name] = tree['role']
                bytes_by_node[name] = _add_counts(sent, tree['sent'])
                bytes_by_node[name] += _add_counts(received, tree['received'])
            applied.update(host_stats['applied'])
        return Reading(
            time.monotonic(),
            sum(host_stats['cpu_s'] for host_stats in stats),
            sum(host_stats['rss_kb'] for host_stats in stats),
            sent,
            received,
            bytes_by_node,
            roles,
            fetch(self.platform, '/admin/counters'),
            applied,
            max(
                tree['subtree']
                for host_stats in stats
                for tree in host_stats['trees']
            ),
        )

    def _host_ranges(self) -> list[tuple[int, int, int, int]]:
        """Return the nodes, the region and the domain of each host process.

        Each entry is the first node, the node after the last one, the region
        and the failure domain; the latter two count from 1.
        """
        domains = REGIONS * DOMAINS_PER_REGION
        host_ranges = []
        for domain in range(domains):
            first = self._nodes * domain // domains
            last = self._nodes * (domain + 1) // domains
            for start in range(first, last, NODES_PER_PROCESS):
                end = min(last, start + NODES_PER_PROCESS)
                region = domain // DOMAINS_PER_REGION + 1
                host_ranges.append((start, end, region, domain % 2 + 1))
        return host_ranges

    def _ordered_processes(self) -> list[subprocess.Popen]:
        return [
            self._host_processes[host_index]
            for host_index in range(len(self._host_ports))
        ]

    def _start_host(
        self,
        first: int,
        last: int,
        region: int,
        domain: int,
        *,
        host_index: int,
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
        self._host_processes[host_index] = self._spawn(
            'tools.capacity.host', *args
        )
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

    async def _wait_for_port(self, ready: pathlib.Path) -> int:
        limit = time.monotonic() + START_TIMEOUT_S
        while not ready.exists():
            if time.monotonic() > limit:
                raise TimeoutError(f'{ready.name} was not written')
            await asyncio.sleep(POLL_INTERVAL_S)
        return json.loads(ready.read_text())['port']

    async def _wait_until_complete(self, nodes: int) -> None:
        limit = time.monotonic() + START_TIMEOUT_S
        while True:
            stats = self.stats()
            known = [
                count for host_stats in stats for count in host_stats['known']
            ]
            subtrees = [
                t['subtree']
                for host_stats in stats
                for t in host_stats['trees']
            ]
            if set(known) == {nodes} and max(subtrees) == nodes:
                return
            if time.monotonic() > limit:
                raise TimeoutError(
                    f'nodes known {min(known)}..{max(known)}, largest tree '
                    f'{max(subtrees)} of {nodes}'
                )
            await asyncio.sleep(POLL_INTERVAL_S)


def fetch(address: str, path: str, method: str = 'GET') -> Any:
    """Return the JSON that a process answers, None if the body is empty."""
    request = urllib.request.Request(f'http://{address}{path}', method=method)
    with urllib.request.urlopen(request) as answer:
        return json.loads(answer.read() or 'null')


def _add_counts(total: dict[str, tuple[int, int]], counts: dict) -> int:
    """Add counts by kind to a total and return the sum of their bytes."""
    size = 0
    for kind, (messages, number) in counts.items():
        old = total.get(kind, (0, 0))
        total[kind] = (old[0] + messages, old[1] + number)
        size += number
    return size
