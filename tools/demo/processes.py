"""Processes of the demonstration."""

from __future__ import annotations

import asyncio
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

READY_TIMEOUT_S = 60.0
EXIT_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.05

NODE_SETTINGS = """\
[node]
id = {name}
region = {region}
failure_domain = {domain}
ready_file = {ready}
[platform]
address = {platform}
[mesh]
seeds = {seeds}
"""


class StartError(Exception):
    """A process exited or was not ready in time, or the fleet did not join."""


class Worker(NamedTuple):
    """Upstream instance with its node."""

    name: str
    service: str
    version: str
    region: str
    domain: str


class Ports(NamedTuple):
    """Ports of the node of a worker (the first three) and of its upstream."""

    http: int
    rpc: int
    admin: int
    upstream: int


class Processes:
    """Starts the processes of the demonstration and stops each by its id.

    :param folder: existing folder for settings, ready files and logs
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.platform = ''
        self.ports: dict[str, Ports] = {}
        self._running: dict[str, subprocess.Popen[bytes]] = {}

    async def start_platform(self) -> None:
        """Start the stand-in for the platform and its object store."""
        ready = self.folder / 'platform.json'
        self._spawn('platform', 'fake_platform', '--ready-file', str(ready))
        ready_info = await self._wait_until_ready('platform', ready)
        self.platform = f'127.0.0.1:{ready_info["port"]}'

    async def start_worker(self, worker: Worker, seeds: str) -> None:
        """Start a node and the upstream beside it.

        :param worker: the upstream instance; its name is also the node id
        :param seeds: RPC addresses of other nodes, empty for none
        """
        ready = self.folder / f'{worker.name}.json'
        settings = self.folder / f'{worker.name}.ini'
        settings.write_text(
            NODE_SETTINGS.format(
                name=worker.name,
                region=worker.region,
                domain=worker.domain,
                ready=ready,
                platform=self.platform,
                seeds=seeds,
            ),
            encoding='utf-8',
        )
        self._spawn(worker.name, 'node', '--config', str(settings))
        node = await self._wait_until_ready(worker.name, ready)
        name = upstream_process_name(worker.name)
        ready = self.folder / f'{name}.json'
        self._spawn(
            name,
            'fake_upstream',
            *('--service', worker.service),
            *('--version', worker.version),
            *('--worker', worker.name),
            *('--node-admin', f'127.0.0.1:{node["admin_port"]}'),
            *('--service-ms', '3'),
            *('--ready-file', str(ready)),
        )
        upstream = await self._wait_until_ready(name, ready)
        self.ports[worker.name] = Ports(
            node['http_port'],
            node['rpc_port'],
            node['admin_port'],
            upstream['http'],
        )

    def process_id(self, name: str) -> int:
        """Return the id of a process."""
        return self._running[name].pid

    def send_signal(self, name: str, signum: signal.Signals) -> None:
        """Send a signal to a process."""
        self._running[name].send_signal(signum)

    async def wait_for_exit(self, name: str) -> int:
        """Wait until a process has exited and return its exit code."""
        return await asyncio.to_thread(
            self._running.pop(name).wait, EXIT_TIMEOUT_S
        )

    def stop_all(self) -> None:
        """Stop all running processes, in the reverse order of their start.

        A process that does not exit in time is killed.
        """
        running = list(reversed(self._running.values()))
        self._running.clear()
        for process in running:
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + EXIT_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def _spawn(self, name: str, program: str, *args: str) -> None:
        log = self.folder / f'{name}.log'
        with log.open('wb') as stream:
            self._running[name] = subprocess.Popen(
                [sys.executable, '-m', f'damaskpier.cmd.{program}', *args],
                stdin=subprocess.DEVNULL,
                stdout=stream,
                stderr=subprocess.STDOUT,
            )

    async def _wait_until_ready(
        self, name: str, path: pathlib.Path
    ) -> dict[str, Any]:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not path.exists():
            code = self._running[name].poll()
            if code is not None or time.monotonic() > deadline:
                log = self.folder / f'{name}.log'
                tail = log.read_text(errors='replace')[-2000:]
                raise StartError(
                    f'{name} is not ready, exit code {code}; its log ends '
                    f'with:\n{tail}'
                )
            await asyncio.sleep(POLL_INTERVAL_S)
        return json.loads(path.read_text(encoding='utf-8'))


def upstream_process_name(name: str) -> str:
    """Return the process name of the upstream beside a node."""
    return f'{name}-upstream'
