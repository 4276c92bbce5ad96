"""Starts and stops the processes of a whole system for a test."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import threading
import time
from typing import Any
from typing import NamedTuple
import urllib.error
import urllib.request

from damaskpier.fakes import upstream

ROOT = pathlib.Path(__file__).parents[2]
# A test that hangs fails after this time; no check depends on its value.
HANG_TIMEOUT_S = 60.0
FAULT_PATH = f'{upstream.ADMIN_PREFIX}/fault'
STATE_PATH = f'{upstream.ADMIN_PREFIX}/state'

SETTINGS = """\
[node]
id = {name}
region = {region}
failure_domain = {domain}
ready_file = {ready}
[platform]
address = {platform}
{seeds}
[log]
level = info
"""


class Response(NamedTuple):
    """Response to an HTTP call.

    ``body`` is the decoded JSON, or the bytes if they are not JSON.
    """

    status: int
    headers: dict[str, str]
    body: Any


class Node:
    """Node process with its upstream process."""

    def __init__(self, name: str, process: subprocess.Popen) -> None:
        self.name = name
        self.process = process
        self.upstream: subprocess.Popen | None = None
        self.ports: dict[str, int] = {}
        self.upstream_port = 0

    @property
    def http(self) -> str:
        """Return the ``HOST:PORT`` for callers."""
        return f'127.0.0.1:{self.ports["http_port"]}'

    @property
    def admin(self) -> str:
        """Return the ``HOST:PORT`` of the admin server."""
        return f'127.0.0.1:{self.ports["admin_port"]}'

    def runs(self) -> dict[str, int]:
        """Return how often each request ID ran in the upstream."""
        state = call(f'127.0.0.1:{self.upstream_port}', STATE_PATH)
        return state.body['runs']

    def set_fault(self, **fields: Any) -> None:
        """Set a fault of the upstream.

        :param fields: fields of :class:`damaskpier.fakes.upstream.Fault`
        """
        post(f'127.0.0.1:{self.upstream_port}', FAULT_PATH, fields)


class System:
    """Fake platform, nodes and upstreams in separate processes.

    :param directory: receives settings, ready files and logs
    """

    def __init__(self, directory: pathlib.Path) -> None:
        self._dir = directory
        self._processes: list[subprocess.Popen] = []
        self.nodes: dict[str, Node] = {}
        self.frozen: set[str] = set()
        ready = directory / 'platform.json'
        self._spawn(
            'platform', 'damaskpier.cmd.fake_platform', '--ready-file', ready
        )
        self.platform = f'127.0.0.1:{self._read_ready_file(ready)["port"]}'

    def start_node(
        self,
        name: str,
        region: str,
        domain: str,
        service: str,
        version: str = 'v1',
        seeds: str = '',
    ) -> Node:
        """Start a node and an upstream that announces itself to it."""
        ready = self._dir / f'{name}.json'
        ready.unlink(missing_ok=True)
        path = self._dir / f'{name}.ini'
        path.write_text(
            SETTINGS.format(
                name=name,
                region=region,
                domain=domain,
                ready=ready,
                platform=self.platform,
                seeds=f'[mesh]\nseeds = {seeds}' if seeds else '',
            )
        )
        process = self._spawn(name, 'damaskpier.cmd.node', '--config', path)
        node = Node(name, process)
        self.nodes[name] = node
        node.ports = self._read_ready_file(ready)
        self.start_upstream(node, service, version)
        return node

    def start_upstream(self, node: Node, service: str, version: str) -> None:
        """Start the upstream of a node."""
        ready = self._dir / f'{node.name}-upstream.json'
        ready.unlink(missing_ok=True)
        node.upstream = self._spawn(
            f'{node.name}-upstream',
            'damaskpier.cmd.fake_upstream',
            *('--service', service, '--version', version),
            *('--worker', node.name, '--node-admin', node.admin),
            *('--ready-file', ready),
        )
        node.upstream_port = self._read_ready_file(ready)['http']

    def operator(self, *args: str) -> subprocess.CompletedProcess:
        """Run the command line for operators and return its outcome."""
        return subprocess.run(
            [sys.executable, '-m', 'damaskpier.cmd.cli', *args],
            cwd=ROOT,
            env={**os.environ, 'DAMASKPIER_PLATFORM': self.platform},
            capture_output=True,
            text=True,
            check=False,
        )

    def sign_off(self, bundle: str, *args: str) -> dict[str, Any]:
        """Sign off a bundle given as YAML; return the JSON result."""
        path = self._dir / 'bundle.yaml'
        path.write_text(bundle)
        done = self.operator(
            *('sign-off', str(path), '--operator', 'test', '--note', 'test'),
            *('--json', *args),
        )
        assert done.returncode == 0, done.stdout + done.stderr
        return json.loads(done.stdout)

    def verdict(self, move: str) -> str:
        """Return the stored phase of a move, empty if nothing is stored."""
        found = call(self.platform, f'/v1/objects/rollouts/{move}')
        return found.body.get('phase', '') if found.status == 200 else ''

    def head(self) -> dict[str, Any]:
        """Return the stored head of the configuration."""
        return call(self.platform, '/v1/objects/config/head').body

    def fleet_root(self) -> Node:
        """Return the node that holds the fleet lease."""
        found = call(self.platform, '/v1/objects/leases/fleet').body
        return self.nodes[found['holder']['node_id']]

    def set_faults(self, **fields: Any) -> None:
        """Replace the faults of the platform.

        :param fields: fields of :class:`damaskpier.fakes.platform.Faults`
        """
        post(self.platform, '/admin/faults', fields)

    def log(self, name: str) -> str:
        """Return the output of a process."""
        return (self._dir / f'{name}.log').read_text()

    def stop(self) -> None:
        """Kill all processes of the system and wait for their end."""
        for process in self._processes:
            if process.poll() is None:
                # SIGCONT ends a pause by SIGSTOP, in which other signals wait.
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def _spawn(
        self, name: str, module: str, *args: object
    ) -> subprocess.Popen:
        with (self._dir / f'{name}.log').open('ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', module, *map(str, args)],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)
        return process

    def _read_ready_file(self, ready: pathlib.Path) -> dict[str, int]:
        wait_until(ready.exists, ready.name)
        return json.loads(ready.read_text())


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Wait until a condition is true and return its value.

    :param description: what the failure message names
    """
    limit = time.monotonic() + HANG_TIMEOUT_S
    while True:
        value = condition()
        if value:
            return value
        assert time.monotonic() < limit, f'gave up waiting for {description}'
        # Poll interval; the wait ends as soon as the condition is true.
        select.select([], [], [], 0.02)


def call(
    address: str,
    path: str,
    method: str = 'GET',
    headers: dict[str, str] | None = None,
    data: bytes | None = None,
) -> Response:
    """Make an HTTP call; error status codes do not raise."""
    request = urllib.request.Request(
        f'http://{address}{path}',
        method=method,
        headers=headers or {},
        data=data,
    )
    try:
        with urllib.request.urlopen(request, timeout=HANG_TIMEOUT_S) as found:
            status, fields, body = found.status, found.headers, found.read()
    except urllib.error.HTTPError as exc:
        status, fields, body = exc.code, exc.headers, exc.read()
    try:
        value = json.loads(body)
    except ValueError:
        value = body
    return Response(status, dict(fields.items()), value)


def post(address: str, path: str, fields: dict[str, Any]) -> Response:
    """Send a JSON object with a POST."""
    return call(address, path, 'POST', data=json.dumps(fields).encode())


class Record(NamedTuple):
    """Outcome of one call by :class:`Callers`.

    ``sent_id`` is the request ID that was sent, ``request_id`` the one that
    the upstream returned.
    """

    at: float  # monotonic time of the answer
    method: str
    status: int
    run: str
    result: str
    version: str
    request_id: str
    sent_id: str


class Callers:
    """Threads that call nodes while the context is open.

    :param addresses: returns the addresses of the nodes to call
    :param paths: method and path of each kind of call
    """

    def __init__(
        self,
        addresses: Callable[[], list[str]],
        paths: list[tuple[str, str]],
        threads: int = 4,
    ) -> None:
        self._addresses = addresses
        self._paths = paths
        self._stop = threading.Event()
        self._numbers = itertools.count()
        self.records: list[Record] = []
        self.failed_calls: list[str] = []
        self._threads = [
            threading.Thread(target=self._call_repeatedly)
            for _ in range(threads)
        ]

    def __enter__(self) -> Callers:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def response_count(self, status: int = 200) -> int:
        """Return the number of responses with a status so far."""
        return sum(record.status == status for record in list(self.records))

    def _call_repeatedly(self) -> None:
        # The pause keeps the load of a test the same on every machine.
        while not self._stop.wait(0.005):
            number = next(self._numbers)
            method, path = self._paths[number % len(self._paths)]
            addresses = self._addresses()
            address = addresses[number % len(addresses)]
            sent = f'call-{number}'
            data = b'{}' if method == 'POST' else None
            try:
                answer = call(
                    address,
                    path,
                    method,
                    {'Damaskpier-Request-Id': sent},
                    data,
                )
            except OSError as exc:
                self.failed_calls.append(f'{method} {path}: {exc}')
                continue
            fields = answer.headers
            body = answer.body if isinstance(answer.body, dict) else {}
            self.records.append(
                Record(
                    time.monotonic(),
                    method,
                    answer.status,
                    fields.get('Damaskpier-Run', ''),
                    fields.get('Damaskpier-Result', ''),
                    fields.get('Damaskpier-Version', ''),
                    body.get('request_id', ''),
                    sent,
                )
            )
