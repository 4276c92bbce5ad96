"""Measure the time that two nodes add to a call, and calls per second.

Starts a stand-in platform, two nodes and a stand-in upstream as processes of
their own, and calls the upstream directly and through both nodes in turn.
Prints a table and writes ``docs/measurements/bench.json``.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import pathlib
import platform
import signal
import subprocess
import sys
import tempfile
import time
from typing import Any

OUTPUT = pathlib.Path('docs/measurements/bench.json')
TARGET_MS = 1.8

BUNDLE = """\
services:
  ledger: {version: v1, slots: 20, queue: 200, policy: two_choices}
routes:
  ledger.get: {service: ledger, method: GET, path: /ledger/get,
               repeatable: true, timeout_ms: 5000}
  ledger.retire: {service: ledger, method: POST, path: /ledger/retire,
                  repeatable: false, timeout_ms: 5000}
"""
SETTINGS = """\
[node]
id = {node_id}
region = souss
failure_domain = souss-1
ready_file = {ready}
[platform]
address = 127.0.0.1:{platform}
[mesh]
seeds = {seeds}
[log]
level = warning
"""
HEAD = (
    '{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\n'
    'Content-Length: {length}\r\n{extra}\r\n'
)


class Processes:
    """Processes of one measurement."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._started: list[subprocess.Popen[bytes]] = []

    def start(self, module: str, *args: str) -> subprocess.Popen[bytes]:
        """Start a program by its module."""
        command = [sys.executable, '-m', module, *args]
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        self._started.append(process)
        return process

    def ready(self, name: str) -> dict[str, int]:
        """Wait for the ready file of a program and return its content."""
        path = self.folder / name
        limit = time.monotonic() + 30
        while not path.exists():
            if time.monotonic() > limit:
                raise TimeoutError(f'{name} was not written within 30 s')
            time.sleep(0.02)
        return json.loads(path.read_text(encoding='utf-8'))

    def stop(self) -> None:
        """Stop the processes, last one first."""
        for process in reversed(self._started):
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


class Caller:
    """One connection of a caller, without any retry."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(
        self, method: str = 'GET', path: str = '/ledger/get', body: bytes = b''
    ) -> int:
        """Send a request and return the status of the answer."""
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                '127.0.0.1', self._port
            )
        assert self._reader is not None
        head = HEAD.format(
            method=method, path=path, length=len(body), extra=''
        )
        self._writer.write(head.encode() + body)
        answer = await self._reader.readuntil(b'\r\n\r\n')
        length = 0
        for line in answer.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                length = int(line.split(b':')[1])
        await self._reader.readexactly(length)
        return int(answer[9:12])

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of a list by the nearest rank."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summary(direct: list[float], through: list[float]) -> dict[str, float]:
    """Return the quantiles of both series and of the added time in ms.

    ``added_p99`` compares the slowest hundredth through the nodes with the
    median of direct calls, which is the stricter of the usual comparisons.
    """
    middle = quantile(direct, 0.5)
    return {
        'direct_p50': 1e3 * middle,
        'direct_p99': 1e3 * quantile(direct, 0.99),
        'through_p50': 1e3 * quantile(through, 0.5),
        'through_p99': 1e3 * quantile(through, 0.99),
        'added_p50': 1e3 * (quantile(through, 0.5) - middle),
        'added_p99': 1e3 * (quantile(through, 0.99) - middle),
        'added_p99_of_p99': 1e3
        * (quantile(through, 0.99) - quantile(direct, 0.99)),
    }


async def added_time(
    upstream: int, node: int, calls: int, method: str, path: str, gap_s: float
) -> dict[str, float]:
    """Call the upstream directly and through the nodes in turn.

    A request that is not repeatable opens a connection to the upstream each
    time, so the direct calls of that kind do the same.
    """
    body = b'{}' if method == 'POST' else b''
    callers = [Caller(upstream), Caller(node)]
    series: list[list[float]] = [[], []]
    for number in range(calls + 50):
        for caller, values in zip(callers, series, strict=True):
            if method == 'POST' and values is series[0]:
                caller.close()
            began = time.perf_counter()
            status = await caller.call(method, path, body)
            if status != 200:
                raise RuntimeError(f'{method} {path} gave {status}')
            if number >= 50:
                values.append(time.perf_counter() - began)
            if gap_s:
                await asyncio.sleep(gap_s)
    for caller in callers:
        caller.close()
    return summary(*series)


async def throughput(
    port: int, pids: dict[str, int], workers: int, seconds: float
) -> dict[str, float]:
    """Call through the nodes as fast as they answer."""
    end = time.perf_counter() + seconds
    times: list[float] = []
    before = {name: cpu_s(pid) for name, pid in pids.items()}

    async def work() -> None:
        caller = Caller(port)
        while time.perf_counter() < end:
            began = time.perf_counter()
            if await caller.call() != 200:
                raise RuntimeError('a call of the throughput run failed')
            times.append(time.perf_counter() - began)
        caller.close()

    began = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(workers)))
    took = time.perf_counter() - began
    result = {
        'calls_per_s': len(times) / took,
        'p50': 1e3 * quantile(times, 0.5),
        'p99': 1e3 * quantile(times, 0.99),
    }
    for name, pid in pids.items():
        used = cpu_s(pid) - before[name]
        result[f'{name}_cpu_us_per_call'] = 1e6 * used / len(times)
        result[f'{name}_rss_mb'] = resident_mb(pid)
    return result


def loop_ns() -> float:
    """Return the time of one turn of an empty loop in nanoseconds.

    It tells how fast the machine was for Python during the measurement,
    which other work on it changes several times over.
    """
    turns = 1_000_000
    began = time.perf_counter()
    for _ in range(turns):
        pass
    return 1e9 * (time.perf_counter() - began) / turns


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf('SC_CLK_TCK')


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    pages = int(pathlib.Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * os.sysconf('SC_PAGE_SIZE') / 2**20


def start_all(run: Processes) -> tuple[dict[str, int], dict[str, int]]:
    """Start the processes; return their ports and process ids."""
    run.start(
        'damaskpier.cmd.fake_platform',
        '--ready-file',
        str(run.folder / 'platform.json'),
    )
    ports = {'platform': run.ready('platform.json')['port']}
    bundle = run.folder / 'bundle.yaml'
    bundle.write_text(BUNDLE, encoding='utf-8')
    subprocess.run(
        (
            *(sys.executable, '-m', 'damaskpier.cmd.cli', 'sign-off'),
            *('--platform', f'127.0.0.1:{ports["platform"]}'),
            *('--operator', 'bench', '--note', 'bench', str(bundle)),
        ),
        check=True,
        stdout=subprocess.DEVNULL,
    )
    pids = {}
    seeds = ''
    for name in ('worker', 'caller'):
        ready = run.folder / f'{name}.json'
        settings = run.folder / f'{name}.ini'
        settings.write_text(
            SETTINGS.format(
                node_id=name,
                ready=ready,
                platform=ports['platform'],
                seeds=seeds,
            ),
            encoding='utf-8',
        )
        process = run.start('damaskpier.cmd.node', '--config', str(settings))
        pids[name] = process.pid
        told = run.ready(ready.name)
        ports[name] = told['http_port']
        ports[f'{name}_admin'] = told['admin_port']
        seeds = seeds or f'127.0.0.1:{told["rpc_port"]}'
    run.start(
        'damaskpier.cmd.fake_upstream',
        *('--service', 'ledger', '--slots', '20'),
        *('--node-admin', f'127.0.0.1:{ports["worker_admin"]}'),
        *('--ready-file', str(run.folder / 'upstream.json')),
    )
    ports['upstream'] = run.ready('upstream.json')['http']
    return ports, pids


async def measure(args: argparse.Namespace, run: Processes) -> dict[str, Any]:
    """Return all figures."""
    ports, pids = start_all(run)
    caller = Caller(ports['caller'])
    async with asyncio.timeout(30):
        while await caller.call() != 200:
            await asyncio.sleep(0.05)
    caller.close()
    upstream, node = ports['upstream'], ports['caller']
    figures: dict[str, Any] = {
        'machine': {
            'cores': os.cpu_count(),
            'load': os.getloadavg()[0],
            'python': platform.python_version(),
            'loop_ns': loop_ns(),
        }
    }
    figures['repeatable'] = await added_time(
        upstream, node, args.calls, 'GET', '/ledger/get', 0
    )
    figures['repeatable_paced'] = await added_time(
        upstream, node, args.calls // 2, 'GET', '/ledger/get', 0.005
    )
    figures['not_repeatable'] = await added_time(
        upstream, node, args.calls // 2, 'POST', '/ledger/retire', 0
    )
    for workers in (8, 32):
        figures[f'throughput_{workers}'] = await throughput(
            node, pids, workers, args.seconds
        )
    return figures


def show(figures: dict[str, Any]) -> None:
    """Print the figures as a table."""
    for name, values in figures.items():
        print(name)
        for key, value in values.items():
            shown = f'{value:.3f}' if isinstance(value, float) else value
            print(f'  {key:28} {shown}')
    added = figures['repeatable']['added_p99']
    verdict = 'met' if added <= TARGET_MS else 'missed'
    print(f'target of {TARGET_MS} ms added for 99 in 100: {verdict}')


def main() -> None:
    """Run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=4000)
    parser.add_argument('--seconds', type=float, default=5.0)
    parser.add_argument('--output', type=pathlib.Path, default=OUTPUT)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        run = Processes(pathlib.Path(folder))
        try:
            figures = asyncio.run(measure(args, run))
        finally:
            run.stop()
    show(figures)
    args.output.parent.mkdir(parents=True, exist_ok=True)
    text = json.dumps(figures, indent=1, sort_keys=True)
    args.output.write_text(text + '\n', encoding='utf-8')


if __name__ == '__main__':
    main()
