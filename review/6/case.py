"""A new version of the configuration adds a route with the prefix "/"."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))
sys.dont_write_bytecode = True

import standins as st  # noqa: E402

SERVICE = 'trackhub'
# The requesters are beside a worker of this service, so that the requests are
# run beside the other nodes.
NEAR_SERVICE = 'findlog'
SERVICES = (SERVICE, NEAR_SERVICE)
ZONES = ('north-a', 'coast-a', 'valley-a')
REQUESTS = 20
APPLY_S = 2.0
FIRST_PATH = '/leny950/exchange'
# All of them match the new route only.
NEW_PATHS = ('/damaskpier/exchange', '/damaskpier/other', '/other/exchange')


async def run(folder, record, nodes):
    """Run the case; return whether the rule held."""
    hosts = st.free_hosts(len(ZONES) + 1, st.PORTS.values())
    store = st.Store(hosts[0], st.PORTS['store'], record)
    await store.start()
    first = st.rule('r-first', '/leny950/', 'non_idempotent', SERVICE)
    store.put('config', 'main', st.configuration(7, [first], SERVICES))
    workers = []
    for number, host in enumerate(hosts[1:]):
        service = SERVICE if number else NEAR_SERVICE
        node = st.Node(
            f'sidecar-{number}',
            host,
            st.PORTS,
            ZONES[number],
            service,
            folder,
            store,
        )
        nodes.append(node)
        node.start()
        worker = st.Worker(
            host,
            st.PORTS['app'],
            st.PORTS['control'],
            service,
            'v1',
            lambda request: (0.02, 200),
            record,
        )
        worker.zone = node.zone
        workers.append(worker)
        await worker.start()
    if not await st.wait_ready(nodes):
        raise RuntimeError('the nodes are not ready')
    await asyncio.sleep(1.5)
    paths = [FIRST_PATH]
    if st.has_trouble():
        every = st.rule('r-every', '/', 'non_idempotent', SERVICE)
        store.put(
            'config', 'main', st.configuration(9, [first, every], SERVICES)
        )
        paths += NEW_PATHS
        await asyncio.sleep(APPLY_S + 1.0)
    requester = st.Requester(nodes[0])
    broken = 0
    for path in paths:
        broken += await _ask(path, requester, workers, record)
    requester.close()
    return not broken


async def _ask(path, requester, workers, record):
    """Send requests to a path; return how many broke the rule."""
    proven = unproven = refused = 0
    for _ in range(REQUESTS):
        request_id = st.new_id()
        answer = await requester.send(
            'POST', path, request_id, body=b'hand coin 4711 over'
        )
        runs = sum(
            run[0] == request_id for worker in workers for run in worker.runs
        )
        if answer is None or not 200 <= answer.status < 300:
            refused += 1
            text = 'no success'
        elif answer.headers.get('x-server-stamp', '').endswith(request_id):
            proven += 1
            text = 'success with proof'
        else:
            unproven += 1
            text = 'success without X-Server-Stamp'
        status = 'none' if answer is None else answer.status
        body = b'' if answer is None else answer.body
        record.write(
            f'POST {path} {request_id} -> {status}, {text}, body {body!r}; '
            f'workers ran it {runs} times'
        )
    record.say(
        f'POST {path}: {proven} successes with proof, {unproven} successes '
        f'without X-Server-Stamp, {refused} others'
    )
    return unproven


if __name__ == '__main__':
    st.main(FOLDER, run)
