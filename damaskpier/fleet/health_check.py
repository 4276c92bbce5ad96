"""Health check of an upstream over a connection of its own."""

from __future__ import annotations

import asyncio

from damaskpier.http1 import client
from damaskpier.http1 import messages


async def request(
    host: str, port: int, path: str, timeout_s: float
) -> messages.Response | messages.Failure:
    """Send a health check and return the response.

    :param path: path of the health check
    :param timeout_s: limit of the whole time, in seconds
    """
    pool = client.Pool(host, port, max_idle=0)
    return await pool.request(
        messages.encode_request(
            'GET', path, (('Host', f'{host}:{port}'),), b''
        ),
        client.Options(asyncio.get_running_loop().time() + timeout_s),
    )
