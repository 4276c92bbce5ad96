"""A bad version of a service whose requests are spread over some routes."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))
sys.dont_write_bytecode = True

import standins as st  # noqa: E402

ZONES = ('north-a', 'coast-a')
OLD_COUNT = 4
NEW_COUNT = 4
ROUTE_COUNT = 24
REQUESTS_PER_S = 84.0
# Part of the answers of the bad version that are failures.
BAD_SHARE = 0.5
DURATION_S = 16.0
EXPOSE_SHARE, EXPOSE_SLACK, ROLLBACK_S = 0.1, 50, 5.0
SERVICE = 'findlog'


async def run(folder, record, nodes):
    """Run the case; return whether the rule held."""
    bad_share = BAD_SHARE if st.has_trouble() else 0.0
    hosts = st.free_hosts(OLD_COUNT + NEW_COUNT + 1, st.PORTS.values())
    store = st.Store(hosts[0], st.PORTS['store'], record)
    await store.start()
    rules = [
        st.rule(f'r-{number}', f'/path{number}/', 'non_idempotent', SERVICE)
        for number in range(ROUTE_COUNT)
    ]
    store.put('config', 'main', st.configuration(7, rules, [SERVICE]))
    workers = []
    for number, host in enumerate(hosts[1:]):
        node = st.Node(
            f'sidecar-{number}',
            host,
            st.PORTS,
            ZONES[number % len(ZONES)],
            SERVICE,
            folder,
            store,
        )
        nodes.append(node)
        node.start()
        is_new = number >= OLD_COUNT
        workers.append(
            st.Worker(
                host,
                st.PORTS['app'],
                st.PORTS['control'],
                SERVICE,
                'v2' if is_new else 'v1',
                _outcome(bad_share if is_new else 0.0, record),
                record,
            )
        )
        workers[-1].zone = node.zone
    old, new = workers[:OLD_COUNT], workers[OLD_COUNT:]
    for worker in old:
        await worker.start()
    if not await st.wait_ready(nodes):
        raise RuntimeError('the nodes are not ready')
    requesters = [st.Requester(node) for node in nodes]
    sending = asyncio.create_task(_send_all(requesters, record))
    await asyncio.sleep(4.0)
    # The new workers are started alongside the old ones.
    ordered_at = record.now()
    for worker in new:
        await worker.start()
    store.put(
        'rollouts',
        SERVICE,
        {
            'service': SERVICE,
            'targetVersion': 'v2',
            'duration': f'{DURATION_S:.0f}s',
        },
    )
    stopped = asyncio.create_task(_stop_old_when_completed(store, old))
    await asyncio.sleep(DURATION_S + 6.0)
    sending.cancel()
    stopped.cancel()
    await asyncio.sleep(1.0)
    state = (store.objects['rollouts'][SERVICE]['status'] or {}).get('state')
    record.say(f'the rollout ended as: {state}')
    return _judge(record, old, new, ordered_at)


def _outcome(bad_share, record):
    def outcome(request):
        is_bad = random.random() < bad_share
        if is_bad:
            bad_runs.append(record.now())
        return random.uniform(0.03, 0.06), 500 if is_bad else 200

    return outcome


bad_runs = []


async def _stop_old_when_completed(store, old):
    while True:
        await asyncio.sleep(0.05)
        status = store.objects['rollouts'][SERVICE]['status'] or {}
        if status.get('state') == 'completed':
            for worker in old:
                worker.stop()
            return


async def _send_all(requesters, record):
    loop = asyncio.get_running_loop()
    running = set()
    at = loop.time()
    try:
        while True:
            at += random.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = asyncio.create_task(
                _send(random.choice(requesters), record)
            )
            running.add(task)
            task.add_done_callback(running.discard)
    finally:
        if running:
            await asyncio.wait(running, timeout=0.9)


async def _send(requester, record):
    request_id = st.new_id()
    path = f'/path{random.randrange(ROUTE_COUNT)}/2f'
    answer = await requester.send('POST', path, request_id, body=b'x' * 300)
    text = 'no answer'
    if answer is not None:
        stamp = answer.headers.get('x-server-stamp', 'none')
        text = f'{answer.status}, stamp {stamp}'
    record.write(f'{request_id} {path} -> {text}')


def _judge(record, old, new, ordered_at):
    until = ordered_at + DURATION_S
    asked = [
        at
        for worker in (*old, *new)
        for _, _, at in worker.runs
        if ordered_at <= at <= until
    ]
    exposed = sorted(
        at for worker in new for _, _, at in worker.runs if ordered_at <= at
    )
    in_time = sum(at <= until for at in exposed)
    allowed = EXPOSE_SHARE * len(asked) + EXPOSE_SLACK
    record.say(
        f'the version v2 got {in_time} requests of {len(asked)} in the time '
        f'of its rollout; allowed for a bad one: {allowed:.0f}; bad answers '
        f'in all: {len(bad_runs)}'
    )
    if not bad_runs:
        return True
    held = in_time <= allowed
    if len(bad_runs) >= 50:
        late = exposed[-1] - sorted(bad_runs)[49]
        record.say(
            f'its last request reached it {late:.2f} s after its 50th bad '
            f'answer; allowed: {ROLLBACK_S} s'
        )
        held &= late <= ROLLBACK_S
    return held


if __name__ == '__main__':
    st.main(FOLDER, run)
