"""HTTP/1.1 messages, and their encoding."""

from __future__ import annotations

import http
from typing import NamedTuple

Headers = tuple[tuple[str, str], ...]

# Statuses of final responses and of interim ones (RFC 9110, section 15).
FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = range(100, 200)
# Responses with these statuses have neither a body nor a ``Content-Length``.
STATUSES_WITHOUT_BODY = frozenset((204, 304))

_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class Request(NamedTuple):
    """Complete request as received by a server.

    ``target`` is the path with the query.
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
        """Return the value of the first header with a name.

        :param name: name in lower case
        :param default: value if there is no such header
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


class Response(NamedTuple):
    """Complete response.

    ``Content-Length`` is added when the response is encoded. ``transfer_s``
    is the time from the first to the last byte of a received response in
    seconds.
    """

    status: int
    headers: Headers = ()
    body: bytes = b''
    transfer_s: float = 0.0

    def header(self, name: str, default: str = '') -> str:
        """Return the value of the first header with a name.

        :param name: name in lower case
        :param default: value if there is no such header
        """
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return default


class Failure(NamedTuple):
    """Request that got no complete response.

    :param reason: text for logs
    :param sent: whether bytes of the request may have reached the peer
    :param timed_out: whether a timeout ended the request
    :param silent: whether the peer sent nothing on an open connection
    :param unacknowledged: whether the peer's host acknowledged no data
    """

    reason: str
    sent: bool
    timed_out: bool = False
    silent: bool = False
    unacknowledged: bool = False


def encode_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Return the bytes of a request with its ``Content-Length``.

    :param target: path with the query
    """
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in headers]
    if body or method not in ('GET', 'HEAD'):
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def encode_response(
    response: Response, *, is_head: bool = False, close: bool = False
) -> bytes:
    """Return the bytes of a response.

    :param is_head: whether the response answers a ``HEAD`` request
    :param close: whether the connection is closed after the response
    """
    reason = _REASONS.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines += [f'{name}: {value}' for name, value in response.headers]
    body = response.body
    if is_head or response.status in STATUSES_WITHOUT_BODY:
        body = b''
    else:
        lines.append(f'Content-Length: {len(body)}')
    if close:
        lines.append('Connection: close')
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body
