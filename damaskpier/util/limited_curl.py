"""HTTP client based on libcurl with a limit of its memory."""

from __future__ import annotations

import asyncio
import io

import pycurl
from tornado import curl_httpclient
from tornado import httpclient
from tornado import httputil

from damaskpier.util import memory

# Limit of the bodies that all clients of a process receive at one time. The
# smallest nodes have 200 MB.
MAX_RECEIVED_BYTES = 48 * 1024 * 1024
# Limit of the lines in all heads and trailers of a response. libcurl accepts
# 300 KB of interim responses and passes them on in one go, which holds the
# event loop for a few hundred milliseconds.
MAX_HEADER_LINES = 2000

_RESPONSE_MEMORY = memory.MemoryLimit(MAX_RECEIVED_BYTES)


class _Transfer(memory.Receiver):
    """Transfer whose body is counted.

    :param buffer: holds the body
    """

    def __init__(
        self, client: LimitedCurlClient, curl: pycurl.Curl, buffer: io.BytesIO
    ) -> None:
        self.is_exhausted = False
        self.line_count = 0
        # Whether a head has begun and its empty line has not arrived.
        self.is_in_head = False
        self._client = client
        self._curl = curl
        self._buffer = buffer

    def memory_exhausted(self) -> None:
        """Discard the body and end the transfer."""
        self.is_exhausted = True
        self._buffer.seek(0)
        self._buffer.truncate()
        # libcurl does not allow it to remove a transfer in a callback.
        asyncio.get_running_loop().call_soon(
            self._client.end_exhausted, self._curl, self
        )

    def add_header_line(self, line: bytes) -> None:
        """Record a line of a head or of the trailers."""
        self.line_count += 1
        if line.startswith(b'HTTP/'):
            self.is_in_head = True
        elif not line.strip(b'\r\n'):
            self.is_in_head = False

    def write(self, chunk: bytes) -> int:
        """Add a part of the body; the result 0 ends the transfer."""
        if self._buffer.tell() + len(chunk) > self._client.max_body_size:
            self._curl.info['body_too_large'] = True
            return 0
        self._client.memory.add(self, len(chunk))
        if self.is_exhausted:
            return 0
        return self._buffer.write(chunk)


class LimitedCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's curl client with a limit of the bodies of all transfers.

    Tornado limits the body of each transfer, and libcurl its head. A transfer
    that is ended because the memory is exhausted fails with
    ``pycurl.E_ABORTED_BY_CALLBACK``.
    """

    def initialize(  # type: ignore[override]
        self,
        max_clients: int,
        max_body_size: int,
        memory_limit: memory.MemoryLimit = _RESPONSE_MEMORY,
    ) -> None:
        """Create the handles.

        Tornado calls this method instead of a constructor.

        :param max_clients: limit of concurrent transfers
        :param max_body_size: longest body of a response in bytes
        :param memory_limit: limit of the bodies that arrive at one time; by
            default, all clients share one limit
        """
        super().initialize(
            max_clients=max_clients, max_body_size=max_body_size
        )
        self.memory = memory_limit
        self._transfers: dict[pycurl.Curl, _Transfer] = {}

    def close(self) -> None:
        """Close all connections and stop counting their bodies."""
        for transfer in self._transfers.values():
            self.memory.release(transfer)
        self._transfers = {}
        super().close()

    def end_exhausted(self, curl: pycurl.Curl, transfer: _Transfer) -> None:
        """End a transfer, unless it has ended by itself, without memory."""
        if self._transfers.get(curl) is transfer:
            self._finish(curl)

    def _curl_setup_request(
        self,
        curl: pycurl.Curl,
        request: httpclient.HTTPRequest,
        buffer: io.BytesIO,
        headers: httputil.HTTPHeaders,
    ) -> None:
        super()._curl_setup_request(curl, request, buffer, headers)
        self._transfers[curl] = transfer = _Transfer(self, curl, buffer)
        curl.setopt(pycurl.WRITEFUNCTION, transfer.write)

        def add_header_line(line: bytes) -> int | None:
            transfer.add_header_line(line)
            if transfer.line_count > MAX_HEADER_LINES:
                return 0  # ends the transfer
            self._curl_header_callback(headers, request.header_callback, line)
            return None

        curl.setopt(pycurl.HEADERFUNCTION, add_header_line)
        if request.method != 'HEAD':
            # A body whose stated length is above the limit is not read.
            curl.setopt(pycurl.MAXFILESIZE_LARGE, self.max_body_size)

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        transfer = self._transfers.pop(curl, None)
        if transfer is not None:
            self.memory.release(transfer)
            if transfer.is_exhausted:
                curl_error = pycurl.E_ABORTED_BY_CALLBACK
                curl_message = 'no memory for the response'
            elif transfer.line_count > MAX_HEADER_LINES:
                curl_error = pycurl.E_RECV_ERROR
                curl_message = f'more than {MAX_HEADER_LINES} header lines'
            elif curl_error is None and transfer.is_in_head:
                # libcurl takes the end of the connection for that of the head
                # unless a length was stated before.
                curl_error = pycurl.E_RECV_ERROR
                curl_message = 'the connection was closed within the head'
            elif curl.info['body_too_large']:
                # E_WRITE_ERROR also stands for a malformed header.
                curl_error = pycurl.E_FILESIZE_EXCEEDED
        super()._finish(curl, curl_error, curl_message)
