"""Steps of the demonstration and the report on their outcome."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import time
from typing import Any
from typing import NamedTuple

from tornado import httpclient

from tools.demo import fleet
from tools.demo import load
from tools.demo import outcomes
from tools.demo import processes

REQUESTS_PER_S = 200.0  # of all callers together
KILL_DELAY_S = 4.0
STOP_DELAY_S = 1.0
GOOD_TIME_LIMIT = '30s'
BAD_TIME_LIMIT = '40s'
BAD_FAILURE_RATE = 0.5
JOIN_TIMEOUT_S = 45.0
KILLED_NODE = 'ledger-v1-rif'
STOPPED_NODE = 'parcels-v1-moyen-atlas'
# Exit codes of ``damaskpier sign-off --wait``.
EXIT_DONE, EXIT_TAKEN_BACK = 0, 5


class RolloutFigures(NamedTuple):
    """Figures of one rollout.

    ``requests`` are those that were completed during the rollout.
    """

    title: str
    verdict: str
    duration_s: float
    control_bytes: int
    requests: list[load.Request]


class Demo:
    """Fleet, load generator and results of the demonstration.

    :param group: starts and stops the processes
    :param seed: seed of the load generator
    """

    def __init__(self, group: processes.Processes, seed: int) -> None:
        self.group = group
        self.seed = seed
        self.missed_goals: list[str] = []
        self.workers = fleet.workers()
        self.callers: load.LoadGenerator | None = None
        self.kill: outcomes.Kill | None = None
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._bytes_sent: dict[str, int] = {}

    # HTTP pages of the processes.

    async def get(self, address: str, path: str) -> Any:
        """Return the JSON of a page, or None if it cannot be read."""
        try:
            reply = await self._client.fetch(f'http://{address}{path}')
            return json.loads(reply.body)
        except (OSError, httpclient.HTTPError, ValueError):
            return None

    async def post(self, address: str, path: str, content: Any) -> None:
        """Send JSON to a page."""
        await self._client.fetch(
            f'http://{address}{path}', method='POST', body=json.dumps(content)
        )

    def admin(self, name: str) -> str:
        """Return the address of a node's admin port."""
        return f'127.0.0.1:{self.group.ports[name].admin}'

    def upstream(self, name: str) -> str:
        """Return the address of the upstream beside a node."""
        return f'127.0.0.1:{self.group.ports[name].upstream}'

    async def control_bytes(self) -> int:
        """Return the bytes that all nodes have sent to each other so far."""
        names = [worker.name for worker in self.workers]
        pages = await asyncio.gather(
            *(self.get(self.admin(name), '/status') for name in names)
        )
        for name, page in zip(names, pages, strict=True):
            # For a node that has exited the value that was read last counts.
            if page is not None:
                self._bytes_sent[name] = page['tree']['bytes_sent']
        return sum(self._bytes_sent.values())

    # Steps.

    async def start_fleet(self) -> None:
        """Start the platform, the nodes and the upstreams."""
        print_paragraph(
            'Starting the stand-in platform and '
            f'{len(self.workers)} instances in three regions, each with an '
            'upstream and its node:'
        )
        await self.group.start_platform()
        first, *others = self.workers
        await self.group.start_worker(first, '')
        seeds = f'127.0.0.1:{self.group.ports[first.name].rpc}'
        await asyncio.gather(
            *(self.group.start_worker(worker, seeds) for worker in others)
        )
        for worker in self.workers:
            print(
                f'    {worker.name:26} {worker.service} {worker.version} in '
                f'{worker.domain:14} node {self.group.process_id(worker.name)}'
            )
        await self.wait_until_joined()

    async def wait_until_joined(self) -> None:
        """Wait until all nodes joined one tree.

        :raises processes.StartError: if they did not in time
        """
        deadline = time.monotonic() + JOIN_TIMEOUT_S
        while time.monotonic() < deadline:
            for worker in self.workers:
                page = await self.get(self.admin(worker.name), '/status')
                tree = (page or {}).get('tree', {})
                if tree.get('subtree') == len(self.workers):
                    print_paragraph(
                        f'All nodes joined one tree under {page["node"]}.'
                    )
                    return
            await asyncio.sleep(0.2)
        raise processes.StartError('the nodes did not join one tree')

    async def run_command(self, *args: str) -> int:
        """Run a command of the operator and print its output.

        :returns: the exit code of the command
        """
        quoted = ' '.join(f'"{arg}"' if ' ' in arg else arg for arg in args)
        print(f'  $ damaskpier {quoted}', flush=True)
        process = await self._start_cli(*args)
        assert process.stdout is not None
        async for line in process.stdout:
            print('    ' + line.decode().rstrip(), flush=True)
        return await process.wait()

    async def query(self, *args: str) -> Any:
        """Run a command of the operator and return its JSON output."""
        process = await self._start_cli('--json', *args)
        out, _ = await process.communicate()
        return json.loads(out)

    async def _start_cli(self, *args: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'damaskpier.cmd.cli',
            *args,
            env={**os.environ, 'DAMASKPIER_PLATFORM': self.group.platform},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )

    def write_bundle(self, name: str, ledger: str, parcels: str) -> str:
        """Write a bundle and return the path of its file."""
        path = pathlib.Path(self.group.folder) / f'{name}.yaml'
        path.write_text(fleet.bundle(ledger, parcels), encoding='utf-8')
        return str(path)

    def expect(self, is_met: bool, text: str) -> None:
        """Record a goal as missed unless it is met."""
        if not is_met:
            self.missed_goals.append(text)

    async def rollout(
        self, title: str, path: str, note: str, by: str | None, code: int
    ) -> RolloutFigures:
        """Sign a bundle off, wait for the verdict and return the figures.

        :param title: title of the rollout in the report
        :param path: file of the bundle
        :param note: note of the sign-off
        :param by: time limit of the rollout, None for none
        :param code: expected exit code of the command
        """
        assert self.callers is not None
        first = len(self.callers.requests)
        bytes_before = await self.control_bytes()
        started = time.monotonic()
        options = ['--by', by] if by else []
        exit_code = await self.run_command(
            'sign-off',
            path,
            *options,
            *('--operator', 'amina', '--note', note, '--wait'),
        )
        duration_s = time.monotonic() - started
        self.expect(
            exit_code == code, f'{title}: exit code {exit_code}, not {code}'
        )
        verdicts = {0: 'done', 5: 'taken back'}
        return RolloutFigures(
            title,
            verdicts.get(exit_code, f'none (exit code {exit_code})'),
            duration_s,
            await self.control_bytes() - bytes_before,
            self.callers.requests[first:],
        )

    async def kill_later(self) -> None:
        """Kill a node after a delay, while it forwards requests."""
        await asyncio.sleep(KILL_DELAY_S)
        pid = self.group.process_id(KILLED_NODE)
        print(f'    -- kill -9 {pid} (node {KILLED_NODE})', flush=True)
        self.kill = outcomes.Kill(KILLED_NODE, fleet.LEDGER, time.monotonic())
        self.group.send_signal(KILLED_NODE, signal.SIGKILL)
        await self.group.wait_for_exit(KILLED_NODE)

    async def stop_later(self) -> None:
        """Stop a node with SIGTERM after a delay, as a planned stop does."""
        await asyncio.sleep(STOP_DELAY_S)
        pid = self.group.process_id(STOPPED_NODE)
        print(f'    -- kill -TERM {pid} (node {STOPPED_NODE})', flush=True)
        self.group.send_signal(STOPPED_NODE, signal.SIGTERM)
        started = time.monotonic()
        code = await self.group.wait_for_exit(STOPPED_NODE)
        duration_s = time.monotonic() - started
        print(
            f'    -- {STOPPED_NODE} ended after {duration_s:.1f} s, '
            f'code {code}'
        )
        self.expect(code == 0, f'the planned stop ended with code {code}')

    def report(
        self, rollouts: list[RolloutFigures], states: list[Any]
    ) -> None:
        """Print the figures and record each goal that was not met.

        :param rollouts: figures of the rollouts; the last one is the rollout
            of the version that fails on purpose
        :param states: state pages of all upstreams
        """
        assert self.callers is not None
        bad = (fleet.PARCELS, 'v2')
        print_paragraph('What each rollout did:')
        for item in rollouts:
            counts = outcomes.count_outcomes(item.requests, bad, self.kill)
            print(f'    {item.title}')
            print(f'      verdict            {item.verdict}')
            print(f'      time to verdict    {item.duration_s:.1f} s')
            print(f'      control bytes      {item.control_bytes}')
            print(f'      requests meanwhile {counts.total}')
            print(f'      lost               {len(counts.lost)}')
            if item is rollouts[-1]:
                self._report_bad_version(item)
        requests = self.callers.requests
        counts = outcomes.count_outcomes(requests, bad, self.kill)
        duplicate_runs = outcomes.find_duplicate_runs(requests, states)
        print_paragraph('All requests of callers:')
        print(f'    sent                              {counts.total}')
        print(f'    complete and successful           {counts.ok}')
        print(f'    failed by the bad version         {counts.failed_by_new}')
        print(f'    cut off by the killed node        {len(counts.cut_off)}')
        print(f'    lost                              {len(counts.lost)}')
        print(f'    not repeatable, but ran twice     {len(duplicate_runs)}')
        print(f'    got the response to another one   {counts.misrouted}')
        print(f'    repeated by the caller            {counts.retried}')
        if counts.cut_off:
            print_paragraph(
                '"Cut off" are requests that are not repeatable and were on '
                'their way to or through the killed node. Nobody can know '
                'whether they ran, so they were answered with the run state '
                '"unknown" instead of being sent again.'
            )
            for request in counts.cut_off:
                after_ms = 1000 * (request.start - self.kill.at)
                print(
                    f'    cut off: {request.request_id} through '
                    f'{request.entry}, sent {after_ms:+.0f} ms from the kill'
                )
        for request in counts.lost[:5]:
            print('    lost:', request)
        self.expect(not counts.lost, f'{len(counts.lost)} requests were lost')
        self.expect(
            not duplicate_runs,
            f'requests that ran twice: {duplicate_runs[:5]}',
        )
        self.expect(
            not counts.misrouted, 'responses of other requests arrived'
        )

    def _report_bad_version(self, item: RolloutFigures) -> None:
        answered = outcomes.answered_by(item.requests, fleet.PARCELS, 'v2')
        on_route = [
            request for request in answered if request.route is fleet.LOOKUP
        ]
        failed = sum(not request.is_ok for request in on_route)
        print(f'      met the bad version {len(answered)}, of them')
        print(f'        on the bad route  {len(on_route)}')
        print(f'        failed            {failed}')


async def run(group: processes.Processes, seed: int) -> list[str]:
    """Run the demonstration and return the goals that were not met.

    :raises processes.StartError: if a process or the fleet did not start
    """
    demo = Demo(group, seed)
    await demo.start_fleet()
    callers = load.LoadGenerator(
        fleet.ROUTES,
        {
            name: f'127.0.0.1:{ports.http}'
            for name, ports in group.ports.items()
        },
        {name: demo.admin(name) for name in group.ports},
        REQUESTS_PER_S,
        seed,
    )
    demo.callers = callers
    try:
        rollouts = await _run_rollouts(demo, callers)
        await demo.run_command('status')
        await demo.run_command('audit', '--limit', '5')
    finally:
        await callers.stop()
    states = await asyncio.gather(
        *(
            demo.get(demo.upstream(name), '/_fake/state')
            for name in group.ports
        )
    )
    demo.report(rollouts, states)
    return demo.missed_goals


async def _run_rollouts(
    demo: Demo, callers: load.LoadGenerator
) -> list[RolloutFigures]:
    print_paragraph('1. The first bundle: ledger v1 and parcels v1.')
    path = demo.write_bundle('first', 'v1', 'v1')
    await demo.run_command('bundle', 'validate', path)
    first = await demo.rollout('first bundle', path, 'start', None, EXIT_DONE)
    print_paragraph(
        f'Callers now send about {REQUESTS_PER_S:.0f} requests a second to '
        f'all nodes, half of them not repeatable (seed {demo.seed}).'
    )
    callers.start()
    print_paragraph(
        f'2. A good version: ledger v1 -> v2, by {GOOD_TIME_LIMIT} from now. '
        f'On the way the node {KILLED_NODE} is killed.'
    )
    path = demo.write_bundle('good', 'v2', 'v1')
    good, _ = await asyncio.gather(
        demo.rollout(
            'good move', path, 'ledger v2', GOOD_TIME_LIMIT, EXIT_DONE
        ),
        demo.kill_later(),
    )
    print_paragraph(
        '3. A bad version: parcels v1 -> v2, whose route parcels.lookup '
        f'fails {BAD_FAILURE_RATE:.0%} of its requests. On the way the node '
        f'{STOPPED_NODE} is stopped as planned.'
    )
    for worker in demo.workers:
        if (worker.service, worker.version) == (fleet.PARCELS, 'v2'):
            fault = {
                'path': fleet.LOOKUP.path,
                'failure_rate': BAD_FAILURE_RATE,
            }
            address = demo.upstream(worker.name)
            await demo.post(address, '/_fake/fault', fault)
    path = demo.write_bundle('bad', 'v2', 'v2')
    bad, _ = await asyncio.gather(
        demo.rollout(
            'bad move', path, 'parcels v2', BAD_TIME_LIMIT, EXIT_TAKEN_BACK
        ),
        demo.stop_later(),
    )
    return [first, good, bad]


def print_paragraph(text: str) -> None:
    """Print a text after an empty line."""
    print(f'\n{text}', flush=True)
