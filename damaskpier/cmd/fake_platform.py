"""Program ``damaskpier-fake-platform``: stand-in for the object API."""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import signal

from damaskpier.fakes import platform


def main() -> None:
    """Serve the object API until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog='damaskpier-fake-platform',
        description='Stand-in for the object API, with faults on command.',
    )
    parser.add_argument(
        '--port', type=int, default=0, help='0 lets the kernel choose'
    )
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument(
        '--ready-file', type=pathlib.Path, help='receives {"port": n}'
    )
    parser.add_argument(
        '--max-writes', type=float, default=platform.MAX_WRITES_PER_S
    )
    parser.add_argument(
        '--max-reads', type=float, default=platform.MAX_READS_PER_S
    )
    asyncio.run(_serve(parser.parse_args()))


async def _serve(args: argparse.Namespace) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_requested.set)
    running = platform.start_platform(
        platform.Platform(args.max_writes, args.max_reads),
        args.port,
        args.host,
    )
    if args.ready_file is not None:
        # Renamed into place, so that a reader never sees a partial file.
        partial = args.ready_file.with_name(args.ready_file.name + '.part')
        partial.write_text(json.dumps({'port': running.port}))
        partial.replace(args.ready_file)
    await stop_requested.wait()
    await running.stop()


if __name__ == '__main__':
    main()
