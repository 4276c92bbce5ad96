"""The address of an ended worker goes to a worker of another service."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))
sys.dont_write_bytecode = True

import standins as st  # noqa: E402

TARGET = 'listbook'
FIRST, SECOND = 'findlog', 'packyard'
SERVICES = (TARGET, FIRST, SECOND)
ZONES = ('north-a', 'coast-a', 'valley-a')
REUSE_AFTER_S = 2.0
# From this time after the new worker's first report was confirmed on,
# requests are judged: apply, and some more.
SETTLE_S = 5.0
REQUESTS = 20


class RecordingWorker(st.Worker):
    """Worker that keeps the X-Caller of the requests that it ran."""

    def __init__(self, *args):
        super().__init__(*args)
        self.callers = {}

    async def _answer(self, request):
        request_id = request.headers.get('x-request-id')
        if request_id:
            self.callers[request_id] = request.headers.get('x-caller')
        return await super()._answer(request)


async def run(folder, record, nodes):
    """Run the case; return whether the rule held."""
    hosts = st.free_hosts(len(ZONES) + 1, st.PORTS.values())
    store = st.Store(hosts[0], st.PORTS['store'], record)
    await store.start()
    rules = [st.rule('r-read', '/read/', 'idempotent', TARGET)]
    store.put('config', 'main', st.configuration(7, rules, SERVICES))
    workers = []
    for number, host in enumerate(hosts[1:]):
        service = TARGET if number else FIRST
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
        workers.append(_worker(host, service, node.zone, record))
        await workers[-1].start()
    if not await st.wait_ready(nodes):
        raise RuntimeError('the nodes are not ready')
    await asyncio.sleep(1.5)
    requester = st.Requester(nodes[0])
    targets = workers[1:]
    broken = await _ask(requester, targets, FIRST, record)
    workers[0].stop()
    record.write(f'the worker of {FIRST} has ended')
    await asyncio.sleep(REUSE_AFTER_S + 0.5)
    next_service = SECOND if st.has_trouble() else FIRST
    # The settings name the service of the machine's worker. The file may
    # change without any signal.
    nodes[0].service = next_service
    nodes[0].write_settings()
    worker = _worker(hosts[1], next_service, nodes[0].zone, record)
    await worker.start()
    confirmed = None
    while confirmed != 200:
        await asyncio.sleep(0.2)
        confirmed = await worker.report()
    record.write(
        f'{worker.instance} of {next_service} at the same address; its '
        'report was confirmed'
    )
    await asyncio.sleep(SETTLE_S)
    broken += await _ask(requester, targets, next_service, record)
    requester.close()
    return not broken


def _worker(host, service, zone, record):
    worker = RecordingWorker(
        host,
        st.PORTS['app'],
        st.PORTS['control'],
        service,
        'v1',
        lambda request: (0.02, 200),
        record,
    )
    worker.zone = zone
    return worker


async def _ask(requester, targets, service, record):
    """Send requests; return how many were run with another X-Caller."""
    wrong = 0
    callers = []
    for _ in range(REQUESTS):
        request_id = st.new_id()
        answer = await requester.send('GET', '/read/2f', request_id)
        for target in targets:
            if request_id in target.callers:
                callers.append(target.callers[request_id])
                wrong += callers[-1] != service
        status = 'none' if answer is None else answer.status
        record.write(
            f'{request_id} from a machine with a worker of {service} -> '
            f'{status}; run with X-Caller {callers[-1:]}'
        )
    record.say(
        f'{len(callers)} requests from a machine with a worker of {service} '
        f'were run, {wrong} of them with another X-Caller: {set(callers)}'
    )
    return wrong


if __name__ == '__main__':
    st.main(FOLDER, run)
