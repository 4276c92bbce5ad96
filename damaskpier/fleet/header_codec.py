"""Headers by which callers and upstreams talk to a node."""

from __future__ import annotations

import abc
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from damaskpier.fleet import model
    from damaskpier.http1 import messages


class CallerMetadata(NamedTuple):
    """What a caller says of its request besides the request itself.

    ``deadline_s`` is the time that the caller waits, None if not told.
    """

    request_id: str
    deadline_s: float | None


class UpstreamMetadata(NamedTuple):
    """What an upstream is told besides the request itself."""

    instance: str
    caller: str
    remaining_s: float


class HeaderCodec(abc.ABC):
    """Translates between headers and what they mean.

    ``id_header`` is the lower-case name of the header that identifies a
    request, which upstreams echo.
    """

    id_header: str

    @abc.abstractmethod
    def decode_caller_headers(
        self, request: messages.Request
    ) -> CallerMetadata:
        """Return what a caller says of its request."""

    @abc.abstractmethod
    def encode_upstream_headers(
        self, headers: messages.Headers, metadata: UpstreamMetadata
    ) -> messages.Headers:
        """Return the headers for an upstream."""

    @abc.abstractmethod
    def is_not_run(self, response: messages.Response) -> bool:
        """Tell whether an upstream says that it did not run a request."""

    @abc.abstractmethod
    def is_other_instance(self, response: messages.Response) -> bool:
        """Tell whether another upstream than the expected one answered."""

    @abc.abstractmethod
    def is_from_upstream(self, response: messages.Response) -> bool:
        """Tell whether a response comes from the upstream's program."""

    @abc.abstractmethod
    def decode_health(
        self, response: messages.Response
    ) -> model.Health | None:
        """Return what a health check tells; None for an unhealthy worker."""

    @abc.abstractmethod
    def encode_retry_after(self, delay_s: float) -> messages.Headers:
        """Return the headers that tell a caller when to come back."""
