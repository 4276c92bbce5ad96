"""All nodes are killed just after a worker's leaving was acknowledged."""

from __future__ import annotations

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common'))

import standins  # noqa: E402

# Whether the disruption is made.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# What was sent, answered and run is written there.
RECORD = FOLDER / 'record.txt'

DRAIN_S = 2.0
STABLE_S = 3.0
# From the acknowledgement to the worker's exit.
SERVE_S = 11.0
# How late the worker's last status report before its leaving arrives.
REPORT_DELAY_S = 2.5
RESTART_DELAY_S = 0.5
REQUEST_INTERVAL_S = 0.1
WORK_S = 0.35
SLOTS = 2


async def send_requests(record, nodes, results, stop) -> None:
    """Send requests to the nodes in turn until ``stop`` is set."""
    tasks = set()
    number = 0

    async def send(node) -> None:
        sent_at = record.now()
        request_id, answer = await node.request('/orders/1', 'POST')
        results[request_id] = sent_at, answer and answer.status

    while not stop.is_set():
        node = nodes[number % len(nodes)]
        number += 1
        task = asyncio.ensure_future(send(node))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)
    if tasks:
        await asyncio.wait(tasks)


async def main(record, folder, nodes) -> int:
    """Return how many requests reached the worker that had left."""
    store = standins.Store()
    await store.start()
    rules = [standins.rule('r-1', '/orders/', 'non_idempotent')]
    store.put(
        'config',
        'main',
        standins.configuration(1, rules, [standins.SERVICE]),
    )
    workers = [
        standins.Worker(record, f'i-{number}', slots=SLOTS, work_s=WORK_S)
        for number in range(3)
    ]
    for number, worker in enumerate(workers):
        await worker.start()
        nodes.append(
            standins.Node(
                record, folder, f'node-{number}', store.port, worker.port
            )
        )
    await asyncio.gather(*(node.start() for node in nodes))
    for node in nodes:
        await node.wait_ready()
    for node, worker in zip(nodes, workers):
        worker.begin_beats(node.control)
    results = {}
    stop = asyncio.Event()
    load = asyncio.ensure_future(send_requests(record, nodes, results, stop))
    await asyncio.sleep(4.0)

    leaving, node = workers[0], nodes[0]
    # The last report before the leaving is under way for some seconds.
    late_report = leaving.next_beat()
    leaving.end_beats()
    leaving.leaving = True
    if not await leaving.report(node.control, leaving.leave_notice()):
        raise standins.CannotRun('the leaving was not acknowledged')
    acked_at = record.now()
    record.add(f'the leaving of {leaving.instance} is acknowledged')

    in_touch_at = 0.0
    if TROUBLE:
        await asyncio.sleep(0.3)
        await asyncio.gather(*(each.kill() for each in nodes))
        await asyncio.sleep(RESTART_DELAY_S)
        await asyncio.gather(*(each.start() for each in nodes))
        in_touch_at = record.now() + STABLE_S
    await asyncio.sleep(max(0, acked_at + REPORT_DELAY_S - record.now()))
    acknowledged = await leaving.report(node.control, late_report)
    record.add(f'a late report arrives, acknowledged: {acknowledged}')
    await asyncio.sleep(acked_at + SERVE_S - record.now())
    cut = set(leaving.running)
    record.add(f'{leaving.instance} exits; it was at work on {len(cut)}')
    await leaving.stop()
    await asyncio.sleep(1.0)
    stop.set()
    await load

    broken = [
        request_id
        for at, request_id in leaving.runs
        if at > acked_at + DRAIN_S
        and results.get(request_id, (0.0,))[0] > in_touch_at
    ]
    lost = [
        request_id
        for request_id in cut
        if results.get(request_id, (0.0, None))[1] != 200
    ]
    record.add(
        f'{len(broken)} requests reached {leaving.instance} later than '
        f'{DRAIN_S} s after the acknowledgement; {len(lost)} of them were '
        'cut off by its exit'
    )
    return len(broken)


if __name__ == '__main__':
    standins.run_case(main, RECORD)
