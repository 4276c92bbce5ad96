"""HTTP client for the upstream of the node, based on libcurl."""

from __future__ import annotations

import asyncio
import os
import socket
from typing import Any
from typing import NamedTuple
from typing import TYPE_CHECKING

import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from damaskpier.http1 import messages as http_messages
from damaskpier.traffic import headers as own_headers
from damaskpier.util import limited_curl

if TYPE_CHECKING:
    from collections.abc import Callable

from damaskpier.traffic import messages

# The kernel closes a connection whose data is not acknowledged for this time.
TCP_USER_TIMEOUT_MS = 3000
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTION_AGE_S = 300
MAX_IDLE_S = 60

# These errors occur before there is a connection, so no byte of the request
# can have been sent.
_ERRORS_BEFORE_CONNECTING = frozenset(
    (
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    )
)


class Failure(NamedTuple):
    """Transfer without a complete answer."""

    reason: str
    sent: bool  # whether a byte of the request may have been sent
    timed_out: bool
    too_large: bool = False
    malformed: bool = False  # whether the request is invalid


class UpstreamClient(limited_curl.LimitedCurlClient):
    """Tornado's curl client with cancellation and connection limits.

    Tornado's ``fetch`` can not abort a transfer, so this class removes the
    handle of the transfer from the multi handle, which makes libcurl close
    the connection.
    """

    def initialize(  # type: ignore[override]
        self,
        max_clients: int = 10,
        max_body_size: int = 1 << 22,
        **options: Any,
    ) -> None:
        """Create the handles.

        Tornado calls this method instead of a constructor.

        :param max_clients: limit of the connections
        :param max_body_size: longest body of a response in bytes
        """
        super().initialize(
            max_clients=max_clients, max_body_size=max_body_size, **options
        )
        self.set_connections(max_clients, max_clients)

    def set_connections(self, connections: int, idle: int) -> None:
        """Limit the connections.

        :param connections: most connections that the upstream accepts
        :param idle: most connections that stay open between requests
        """
        # A new connection may reach the upstream before the end of the one
        # that it replaces, so some connections are kept in reserve.
        connections = max(1, connections - 1 - connections // 10)
        idle = max(1, min(idle, connections))
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, connections)
        self._multi.setopt(pycurl.M_MAXCONNECTS, idle)
        while len(self._curls) < connections:
            handle = self._curl_create()
            self._curls.append(handle)
            self._free_list.append(handle)

    def fetch_impl(
        self,
        request: httpclient.HTTPRequest,
        callback: Callable[[httpclient.HTTPResponse], None],
    ) -> None:
        """Start a transfer at once instead of in the next loop iteration."""
        self._requests.append((request, callback, self.io_loop.time()))
        self._process_queue()
        self._set_timeout(-1)
        self._handle_timeout()

    def _set_timeout(self, msecs: int) -> None:
        # With -1, libcurl requests the removal of its timer; Tornado would
        # call libcurl at once instead.
        if msecs >= 0:
            super()._set_timeout(msecs)
        elif self._timeout is not None:
            self.io_loop.remove_timeout(self._timeout)
            self._timeout = None

    async def run(
        self, request: httpclient.HTTPRequest
    ) -> httpclient.HTTPResponse | Failure:
        """Send a request.

        Cancelling the call closes its connection.

        :returns: the response of the upstream, or a failure
        """
        fut = asyncio.get_running_loop().create_future()

        def finished(response: httpclient.HTTPResponse) -> None:
            if not fut.done():
                fut.set_result(response)

        proxy: Any = httpclient._RequestProxy(request, self.defaults)
        self.fetch_impl(proxy, finished)
        try:
            response = await fut
        except asyncio.CancelledError:
            self._abort(proxy)
            raise
        if _has_failed(response):
            return _to_failure(response)
        if response.code not in http_messages.FINAL_STATUSES:
            return Failure(
                f'an answer with the invalid status {response.code:03d}',
                sent=True,
                timed_out=False,
            )
        identifier = response.headers.get(own_headers.REQUEST_ID)
        if identifier not in (
            None,
            request.headers.get(own_headers.REQUEST_ID),
        ):
            # A faulty upstream may write an answer twice, the second time when
            # the connection is in use again.
            return Failure(
                'the answer is that to another request',
                sent=True,
                timed_out=False,
            )
        return response

    def _abort(self, request: Any) -> None:
        for entry in self._requests:
            if entry[0] is request:
                self._requests.remove(entry)
                return
        for curl in self._curls:
            info = getattr(curl, 'info', None)
            if info is not None and info['request'] is request:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, 'cancelled')
                return


def make_request(
    url: str,
    method: str,
    headers: messages.Headers,
    body: bytes,
    timeout_s: float,
    *,
    fresh: bool,
) -> httpclient.HTTPRequest:
    """Return a request for :meth:`UpstreamClient.run`.

    :param timeout_s: limit of the whole transfer in seconds
    :param fresh: open a new connection. When a reused connection breaks
        before the first byte of the answer, libcurl sends the request again,
        so only requests that may run twice may reuse a connection.
    """
    fields = httputil.HTTPHeaders()
    for name, value in headers:
        fields.add(name, value)
    # A GET without a body must not carry a Content-Length of zero.
    has_body = bool(body) or method not in ('GET', 'HEAD', 'OPTIONS')
    return httpclient.HTTPRequest(
        url,
        method=method,
        headers=fields,
        body=body if has_body else None,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=_prepare_fresh if fresh else _prepare_reused,
    )


def _prepare_reused(curl: pycurl.Curl) -> None:
    # The User-Agent of the caller, if there is one, is among the headers.
    curl.setopt(pycurl.USERAGENT, '')
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_socket_options)
    curl.setopt(pycurl.MAXLIFETIME_CONN, MAX_CONNECTION_AGE_S)
    curl.setopt(pycurl.MAXAGE_CONN, MAX_IDLE_S)
    curl.setopt(pycurl.PROXY, '')
    # libcurl would resolve dot segments, and the upstream would get another
    # path than the one that the route was matched with.
    curl.setopt(pycurl.PATH_AS_IS, 1)


def _prepare_fresh(curl: pycurl.Curl) -> None:
    _prepare_reused(curl)
    curl.setopt(pycurl.FRESH_CONNECT, 1)


def _set_socket_options(fd: int, purpose: int) -> int:
    with socket.socket(fileno=os.dup(fd)) as sock:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
    return pycurl.SOCKOPT_OK


def _has_failed(response: httpclient.HTTPResponse) -> bool:
    """Return whether there is no answer of the upstream.

    Tornado uses the status 599 for that, which an upstream may send, too.
    """
    return (
        response.code == 599
        and response.error is not None
        and type(response.error) is not httpclient.HTTPError
    )


def _to_failure(response: httpclient.HTTPResponse) -> Failure:
    exc = response.error
    if not isinstance(exc, curl_httpclient.CurlError):
        # The transfer could not be set up, for instance because of an invalid
        # header.
        return Failure(str(exc), sent=False, timed_out=False, malformed=True)
    timed_out = exc.errno == pycurl.E_OPERATION_TIMEDOUT
    connected = bool(response.time_info.get('pretransfer'))
    return Failure(
        f'curl error {exc.errno}: {exc.message}',
        sent=exc.errno not in _ERRORS_BEFORE_CONNECTING
        and (connected or not timed_out),
        timed_out=timed_out,
        too_large=exc.errno == pycurl.E_FILESIZE_EXCEEDED,
        malformed=exc.errno == pycurl.E_URL_MALFORMAT,
    )
