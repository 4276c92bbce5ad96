"""A fixed version is ordered while the workers of a bad one still run."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

# Whether the disruption is made.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# What was sent, answered and run is written there.
RECORD = FOLDER / 'record.txt'

OLD_COUNT = 6
REQUEST_INTERVAL_S = 0.02
DURATION_S = 16.0
BAD_SHARE = 0.5
# From the status "rolled_back" to the leaving of the new workers.
LEAVE_DELAY_S = 8.0
ROLLBACK_S = 5.0
# Longest time from a request's sending to its arrival at a worker.
SENDING_S = 0.25
EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50


class Machines:
    """Workers with the nodes beside them."""

    def __init__(self, record, folder, nodes, store) -> None:
        self.record = record
        self.folder = folder
        self.nodes = nodes
        self.store = store
        self.pairs = []

    async def add(self, version, behaviour=None):
        """Start a worker and its node."""
        number = len(self.pairs)
        worker = standins.Worker(
            self.record,
            f'i-{version}-{number}',
            version,
            work_s=0.03,
            behaviour=behaviour,
        )
        await worker.start()
        node = standins.Node(
            self.record,
            self.folder,
            f'node-{number}',
            self.store.port,
            worker.port,
        )
        self.nodes.append(node)
        self.pairs.append((worker, node))
        await node.start()
        return worker, node

    async def add_group(self, version, behaviour=None):
        """Start as many workers as the service has."""
        group = [await self.add(version, behaviour) for _ in range(OLD_COUNT)]
        for worker, node in group:
            await node.wait_ready()
            worker.begin_beats(node.control)
        return group


async def leave(worker, node) -> None:
    """Report that a worker is draining, and exit 4 s later."""
    worker.state = 'draining'
    worker.leaving = True
    await asyncio.sleep(4.0)
    await worker.report(node.control, worker.leave_notice())
    await worker.stop()


def state_of(store) -> str:
    """Return the state of the order."""
    status = store.objects['rollouts'][standins.SERVICE]['status']
    return (status or {}).get('state', '')


async def main(record, folder, nodes) -> int:
    """Return 1 if the bad version got more requests than it may get."""
    rng = random.Random(1)
    store = standins.Store()
    await store.start()
    rules = [standins.rule('r-1', '/orders/', 'idempotent')]
    store.put(
        'config',
        'main',
        standins.configuration(1, rules, [standins.SERVICE]),
    )
    machines = Machines(record, folder, nodes, store)
    old = await machines.add_group('v1')
    sent = []
    answers = []
    tasks = set()

    async def send(node) -> None:
        _, answer = await node.request('/orders/1')
        answers.append(answer and answer.status)

    async def load() -> None:
        number = 0
        while True:
            _, node = old[number % len(old)]
            number += 1
            sent.append(record.now())
            task = asyncio.ensure_future(send(node))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    bad_answers = []

    async def bad(_request) -> int:
        await asyncio.sleep(0.03)
        if rng.random() >= BAD_SHARE:
            return 200
        bad_answers.append(record.now())
        return 500

    loading = asyncio.ensure_future(load())
    await asyncio.sleep(3.0)
    store.put(
        'rollouts',
        standins.SERVICE,
        {
            'service': standins.SERVICE,
            'targetVersion': 'v2',
            'duration': f'{DURATION_S}s',
        },
    )
    ordered_at = record.now()
    record.add('v2 is ordered')
    new = await machines.add_group('v2', bad)
    if TROUBLE:
        worker, _ = old[-1]
        record.add(f'{worker.instance} crashes for good')
        await worker.stop()
    while state_of(store) != 'rolled_back':
        if record.now() > ordered_at + DURATION_S:
            raise standins.CannotRun('v2 was not rolled back')
        await asyncio.sleep(0.1)
    rolled_back_at = record.now()
    record.add('v2 is rolled back')
    store.put(
        'rollouts',
        standins.SERVICE,
        {
            'service': standins.SERVICE,
            'targetVersion': 'v3',
            'duration': f'{DURATION_S}s',
        },
        {'state': 'rolled_back', 'targetVersion': 'v2'},
    )
    record.add('v3, the fixed version, is ordered')
    await machines.add_group('v3')
    await asyncio.sleep(max(0, rolled_back_at + LEAVE_DELAY_S - record.now()))
    record.add('the workers of v2 begin to leave')
    await asyncio.gather(*(leave(worker, node) for worker, node in new))
    await asyncio.sleep(max(0, ordered_at + DURATION_S - record.now()))
    loading.cancel()
    if tasks:
        await asyncio.wait(tasks)

    until = ordered_at + DURATION_S
    all_count = sum(ordered_at <= at < until for at in sent)
    exposed = [at for worker, _ in new for at, _ in worker.runs if at < until]
    after = sum(at > rolled_back_at + 0.5 for at in exposed)
    allowed = EXPOSE_SHARE * all_count + EXPOSE_SLACK
    late = 0
    if len(bad_answers) >= EXPOSE_SLACK:
        limit = bad_answers[EXPOSE_SLACK - 1] + ROLLBACK_S + SENDING_S
        late = sum(at > limit for worker, _ in new for at, _ in worker.runs)
    record.add(
        f'v2 got {len(exposed)} requests of {all_count}, allowed '
        f'{allowed:.0f}; {after} of them later than 0.5 s after it was rolled '
        f'back, and {late} later than {ROLLBACK_S} s after its 50th bad '
        f'answer; {answers.count(500)} requesters got its failures'
    )
    return int(len(exposed) > allowed) + int(late > 0)


if __name__ == '__main__':
    standins.run_case(main, RECORD)
