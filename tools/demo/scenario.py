"""Course of the demonstration, told for a reader."""

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
from tools.demo import processes
from tools.demo import tally

RATE = 200.0  # requests per second of all callers
KILL_AFTER_S = 4.0
STOP_AFTER_S = 1.0
GOOD_LIMIT = '30s'
BAD_LIMIT = '40s'
BAD_FAILURE_RATE = 0.5
READY_LIMIT_S = 45.0
KILLED = 'ledger-v1-rif'
STOPPED = 'parcels-v1-moyen-atlas'
GOOD, TAKEN_BACK = 0, 5


class Rollout(NamedTuple):
    """Figures of one rollout."""

    title: str
    verdict: str
    took_s: float
    control_bytes: int
    requests: list[load.Request]


class Demo:
    """State of the demonstration.

    :param group: the processes
    """

    def __init__(self, group: processes.Processes, seed: int) -> None:
        self.group = group
        self.seed = seed
        self.misses: list[str] = []
        self.workers = fleet.workers()
        self.callers: load.Callers | None = None
        self.kill: tally.Kill | None = None
        self._client = httpclient.AsyncHTTPClient(force_instance=True)
        self._bytes: dict[str, int] = {}

    # Pages of the processes.

    async def get(self, address: str, path: str) -> Any:
        """Return the JSON of a page, or None if nobody answers."""
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
        """Return what all nodes have sent to each other so far."""
        names = [worker.name for worker in self.workers]
        pages = await asyncio.gather(
            *(self.get(self.admin(name), '/status') for name in names)
        )
        for name, page in zip(names, pages, strict=True):
            # A node that has ended keeps the value that was read last.
            if page is not None:
                self._bytes[name] = page['tree']['bytes_sent']
        return sum(self._bytes.values())

    # Steps.

    async def start_fleet(self) -> None:
        """Start the platform, the nodes and the upstreams."""
        say(
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
        await self.until_joined()

    async def until_joined(self) -> None:
        """Wait until one root knows the whole fleet."""
        deadline = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline:
            for worker in self.workers:
                page = await self.get(self.admin(worker.name), '/status')
                tree = (page or {}).get('tree', {})
                if tree.get('subtree') == len(self.workers):
                    say(f'All nodes joined one tree under {page["node"]}.')
                    return
            await asyncio.sleep(0.2)
        raise processes.StartError('the nodes did not join one tree')

    async def command(self, *args: str) -> int:
        """Run a command as an operator types it and show its output."""
        shown = ' '.join(f'"{arg}"' if ' ' in arg else arg for arg in args)
        print(f'  $ damaskpier {shown}', flush=True)
        process = await self._cli(*args)
        assert process.stdout is not None
        async for line in process.stdout:
            print('    ' + line.decode().rstrip(), flush=True)
        return await process.wait()

    async def query(self, *args: str) -> Any:
        """Return the JSON that a command writes."""
        process = await self._cli('--json', *args)
        out, _ = await process.communicate()
        return json.loads(out)

    async def _cli(self, *args: str) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'damaskpier.cmd.cli',
            *args,
            env={**os.environ, 'DAMASKPIER_PLATFORM': self.group.platform},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )

    def bundle_file(self, name: str, ledger: str, parcels: str) -> str:
        """Write a bundle and return the path of its file."""
        path = pathlib.Path(self.group.folder) / f'{name}.yaml'
        path.write_text(fleet.bundle(ledger, parcels), encoding='utf-8')
        return str(path)

    def expect(self, is_met: bool, text: str) -> None:
        """Note a goal that was not met."""
        if not is_met:
            self.misses.append(text)

    async def rollout(
        self, title: str, path: str, note: str, by: str | None, code: int
    ) -> Rollout:
        """Sign a bundle off, wait for the verdict and take the figures."""
        assert self.callers is not None
        first = len(self.callers.requests)
        bytes_before = await self.control_bytes()
        started = time.monotonic()
        options = ['--by', by] if by else []
        found = await self.command(
            'sign-off',
            path,
            *options,
            *('--operator', 'amina', '--note', note, '--wait'),
        )
        took_s = time.monotonic() - started
        self.expect(found == code, f'{title}: exit code {found}, not {code}')
        verdicts = {0: 'done', 5: 'taken back'}
        return Rollout(
            title,
            verdicts.get(found, f'none (exit code {found})'),
            took_s,
            await self.control_bytes() - bytes_before,
            self.callers.requests[first:],
        )

    async def kill_later(self) -> None:
        """Kill a node while requests are on their way through it."""
        await asyncio.sleep(KILL_AFTER_S)
        pid = self.group.process_id(KILLED)
        print(f'    -- kill -9 {pid} (node {KILLED})', flush=True)
        self.kill = tally.Kill(KILLED, fleet.LEDGER, time.monotonic())
        self.group.send_signal(KILLED, signal.SIGKILL)
        await self.group.ended(KILLED)

    async def stop_later(self) -> None:
        """Stop a node as a planned stop does."""
        await asyncio.sleep(STOP_AFTER_S)
        pid = self.group.process_id(STOPPED)
        print(f'    -- kill -TERM {pid} (node {STOPPED})', flush=True)
        self.group.send_signal(STOPPED, signal.SIGTERM)
        started = time.monotonic()
        code = await self.group.ended(STOPPED)
        took_s = time.monotonic() - started
        print(f'    -- {STOPPED} ended after {took_s:.1f} s, code {code}')
        self.expect(code == 0, f'the planned stop ended with code {code}')

    def report(self, rollouts: list[Rollout], states: list[Any]) -> None:
        """Print the figures and note each goal that was not met."""
        assert self.callers is not None
        bad = (fleet.PARCELS, 'v2')
        say('What each rollout did:')
        for item in rollouts:
            counts = tally.count(item.requests, bad, self.kill)
            print(f'    {item.title}')
            print(f'      verdict            {item.verdict}')
            print(f'      time to verdict    {item.took_s:.1f} s')
            print(f'      control bytes      {item.control_bytes}')
            print(f'      requests meanwhile {counts.total}')
            print(f'      lost               {len(counts.lost)}')
            if item is rollouts[-1]:
                self._report_bad(item)
        requests = self.callers.requests
        counts = tally.count(requests, bad, self.kill)
        twice = tally.run_twice(requests, states)
        say('All requests of callers:')
        print(f'    sent                              {counts.total}')
        print(f'    complete and successful           {counts.ok}')
        print(f'    failed by the bad version         {counts.failed_by_new}')
        print(f'    cut off by the killed node        {len(counts.cut_off)}')
        print(f'    lost                              {len(counts.lost)}')
        print(f'    not repeatable, but ran twice     {len(twice)}')
        print(f'    got the response to another one   {counts.wrong}')
        print(f'    repeated by the caller            {counts.repeated}')
        if counts.cut_off:
            say(
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
        self.expect(not twice, f'requests that ran twice: {twice[:5]}')
        self.expect(not counts.wrong, 'responses of other requests arrived')

    def _report_bad(self, item: Rollout) -> None:
        seen = tally.met(item.requests, fleet.PARCELS, 'v2')
        on_route = [
            request for request in seen if request.route is fleet.LOOKUP
        ]
        failed = sum(not request.is_ok for request in on_route)
        print(f'      met the bad version {len(seen)}, of them')
        print(f'        on the bad route  {len(on_route)}')
        print(f'        failed            {failed}')


async def run(group: processes.Processes, seed: int) -> list[str]:
    """Run the demonstration and return the goals that were not met."""
    demo = Demo(group, seed)
    await demo.start_fleet()
    callers = load.Callers(
        fleet.ROUTES,
        {
            name: f'127.0.0.1:{ports.http}'
            for name, ports in group.ports.items()
        },
        {name: demo.admin(name) for name in group.ports},
        RATE,
        seed,
    )
    demo.callers = callers
    try:
        rollouts = await _rollouts(demo, callers)
        await demo.command('status')
        await demo.command('audit', '--limit', '5')
    finally:
        await callers.stop()
    states = await asyncio.gather(
        *(
            demo.get(demo.upstream(name), '/_fake/state')
            for name in group.ports
        )
    )
    demo.report(rollouts, states)
    return demo.misses


async def _rollouts(demo: Demo, callers: load.Callers) -> list[Rollout]:
    say('1. The first bundle: ledger v1 and parcels v1.')
    path = demo.bundle_file('first', 'v1', 'v1')
    await demo.command('bundle', 'validate', path)
    first = await demo.rollout('first bundle', path, 'start', None, GOOD)
    say(
        f'Callers now send about {RATE:.0f} requests a second to all nodes, '
        f'half of them not repeatable (seed {demo.seed}).'
    )
    callers.start()
    say(
        f'2. A good version: ledger v1 -> v2, by {GOOD_LIMIT} from now. On '
        f'the way the node {KILLED} is killed.'
    )
    path = demo.bundle_file('good', 'v2', 'v1')
    good, _ = await asyncio.gather(
        demo.rollout('good move', path, 'ledger v2', GOOD_LIMIT, GOOD),
        demo.kill_later(),
    )
    say(
        '3. A bad version: parcels v1 -> v2, whose route parcels.lookup '
        f'fails {BAD_FAILURE_RATE:.0%} of its requests. On the way the node '
        f'{STOPPED} is stopped as planned.'
    )
    for worker in demo.workers:
        if (worker.service, worker.version) == (fleet.PARCELS, 'v2'):
            fault = {
                'path': fleet.LOOKUP.path,
                'failure_rate': BAD_FAILURE_RATE,
            }
            address = demo.upstream(worker.name)
            await demo.post(address, '/_fake/fault', fault)
    path = demo.bundle_file('bad', 'v2', 'v2')
    bad, _ = await asyncio.gather(
        demo.rollout('bad move', path, 'parcels v2', BAD_LIMIT, TAKEN_BACK),
        demo.stop_later(),
    )
    return [first, good, bad]


def say(text: str) -> None:
    """Print a paragraph of the narration."""
    print(f'\n{text}', flush=True)
