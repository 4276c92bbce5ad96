"""Messages as they are read from and written to a connection."""

from __future__ import annotations

import http
from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]

# Responses with these statuses have no body and no length.
BODILESS = frozenset((204, 304))

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class Request(NamedTuple):
    """Complete request as a server has read it.

    ``path`` is the target without its query.
    """

    method: str
    target: str
    headers: Headers
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    def header(self, name: str, default: str = '') -> str:
        """Return the first header with a name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


class Response(NamedTuple):
    """Complete response; ``Content-Length`` is set when it is written."""

    status: int
    headers: Headers = ()
    body: bytes = b''

    def header(self, name: str, default: str = '') -> str:
        """Return the first header with a name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


class Failure(NamedTuple):
    """Request that got no complete response.

    :param sent: whether bytes of the request may have reached the peer
    :param silent: whether the connection was open but brought nothing
    :param unacknowledged: whether the peer's machine acknowledged nothing
    """

    reason: str
    sent: bool
    timed_out: bool = False
    silent: bool = False
    unacknowledged: bool = False


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request with its ``Content-Length``."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def encode_response(
    response: Response, *, is_head: bool = False, close: bool = False
) -> bytes:
    """Return the bytes of a response.

    :param is_head: whether it answers a ``HEAD`` request
    :param close: whether the connection is closed behind it
    """
    reason = _REASONS.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines += [f'{name}: {value}' for name, value in response.headers]
    body = response.body
    if is_head or response.status in BODILESS:
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    if close:
        lines.append('Connection: close')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
