"""Interface of the codec for headers of callers and upstreams."""

from __future__ import annotations

import abc
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier.fleet import model
    from damaskpier.http1 import messages


class CallerMetadata(NamedTuple):
    """Metadata in the headers of a caller's request.

    ``deadline_s`` is the time for which the caller waits; None if unknown.
    """

    request_id: str
    deadline_s: float | None


class UpstreamMetadata(NamedTuple):
    """Metadata in the headers of a request to an upstream.

    ``instance`` is the instance that the request is meant for, ``caller`` the
    service of the instance on which it originated. ``remaining_s`` is the time
    until the deadline.
    """

    instance: str
    caller: str
    remaining_s: float


class HeaderCodec(abc.ABC):
    """Encodes and decodes the headers of callers and upstreams.

    ``id_header`` is the lower-case name of the header that identifies a
    request; upstreams return it in their responses.
    """

    id_header: str

    @abc.abstractmethod
    def decode_caller_headers(
        self, request: messages.Request
    ) -> CallerMetadata:
        """Return the metadata in the headers of a caller's request."""

    @abc.abstractmethod
    def encode_upstream_headers(
        self, headers: messages.Headers, metadata: UpstreamMetadata
    ) -> messages.Headers:
        """Return the headers of a request to an upstream.

        :param headers: headers of the caller's request
        """

    @abc.abstractmethod
    def is_not_run(self, response: messages.Response) -> bool:
        """Return whether an upstream reports that it ran no request."""

    @abc.abstractmethod
    def is_other_instance(self, response: messages.Response) -> bool:
        """Return whether another instance than the expected one answered."""

    @abc.abstractmethod
    def is_from_upstream(self, response: messages.Response) -> bool:
        """Return whether the upstream's program made a response."""

    @abc.abstractmethod
    def decode_rate_limit(self, response: messages.Response) -> float | None:
        """Return how many requests a second the upstream takes.

        :returns: limit of the requests of all nodes together; None if the
            response names none
        :raises ValueError: if the limit can not be read
        """

    @abc.abstractmethod
    def decode_reported_pace(
        self, response: messages.Response
    ) -> float | None:
        """Return how much longer than usual work takes, as a factor.

        :returns: None if the response does not say
        """

    @abc.abstractmethod
    def is_leaving(self, response: messages.Response) -> bool:
        """Return whether the upstream says that it is leaving."""

    @abc.abstractmethod
    def decode_health(
        self, response: messages.Response
    ) -> model.Health | None:
        """Return the result of a health check; None if it failed."""

    @abc.abstractmethod
    def encode_retry_after(self, delay_s: float) -> messages.Headers:
        """Return the headers that ask a caller to retry after a delay."""
