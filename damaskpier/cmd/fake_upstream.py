"""Program ``damaskpier-fake-upstream``: stand-in for an upstream."""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import pathlib
import signal

from damaskpier.fakes import upstream


def parse_arguments(argv: list[str] | None = None) -> argparse.Namespace:
    """Parse the command line; None stands for ``sys.argv``."""
    parser = argparse.ArgumentParser(
        prog='damaskpier-fake-upstream', description=upstream.__doc__
    )
    parser.add_argument('--service', required=True)
    parser.add_argument('--version', default='v1')
    parser.add_argument('--worker', default='', help='name in the answers')
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument(
        '--node-admin', default='', help='HOST:PORT of the node to announce to'
    )
    parser.add_argument('--slots', type=int, default=20)
    parser.add_argument('--connections', type=int, default=110)
    parser.add_argument('--service-ms', type=float, default=0.0)
    parser.add_argument('--cold-ms', type=float, default=0.0)
    parser.add_argument('--cold-requests', type=int, default=0)
    parser.add_argument(
        '--hide-slots',
        action='store_true',
        help='leave the slots out of the announcements',
    )
    parser.add_argument(
        '--calls',
        action='append',
        default=[],
        metavar='PATH',
        help='path that each request calls through the node; repeatable',
    )
    parser.add_argument('--seed', type=int, default=0)
    parser.add_argument('--ready-file', default='')
    return parser.parse_args(argv)


async def run(args: argparse.Namespace) -> None:
    """Run the upstream until SIGTERM or SIGINT."""
    fake = upstream.FakeUpstream(
        upstream.Options(
            service=args.service,
            version=args.version,
            worker=args.worker,
            host=args.host,
            port=args.port,
            node_admin=args.node_admin,
            slots=args.slots,
            connections=args.connections,
            service_ms=args.service_ms,
            cold_ms=args.cold_ms,
            cold_requests=args.cold_requests,
            calls=tuple(args.calls),
            announce_slots=not args.hide_slots,
            seed=args.seed,
        )
    )
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    await fake.start()
    if args.ready_file:
        path = pathlib.Path(args.ready_file)
        partial = path.with_name(path.name + '.part')
        partial.write_text(json.dumps({'http': fake.port}), encoding='utf-8')
        partial.replace(path)
    await stop_requested.wait()
    await fake.stop()


def main() -> None:
    """Run the program."""
    logging.basicConfig(level=logging.INFO)
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
    asyncio.run(run(parse_arguments()))


if __name__ == '__main__':
    main()
