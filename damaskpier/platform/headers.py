"""Codec for the headers of the platform's callers and upstreams."""

from __future__ import annotations

import math
import re

from damaskpier.fleet import header_codec
from damaskpier.fleet import model
from damaskpier.http1 import messages
from damaskpier.teams import keys

REQUEST_ID = 'X-Request-Id'
DEADLINE_MS = 'X-Deadline-Ms'
# Instance that the request is meant for; any other one refuses it.
EXPECTED_INSTANCE = 'X-Expect-Instance'
# Service of the instance on which the request originated.
CALLER = 'X-Caller'
# Key of a team, which the platform calls a tenant, and name of the team.
API_KEY = 'X-Api-Key'
TENANT = 'X-Tenant'
# Set in every response that the upstream's program itself made.
SIGNATURE = 'X-Server-Stamp'
NOT_RUN = 'X-Not-Run'
RETRY_AFTER = 'Retry-After'
# Instance that answers a health check.
INSTANCE = 'X-Instance-Id'
# Numbers of running requests, queued requests and slots, separated by commas,
# and the pace in percent of the usual time, which may be missing.
LOAD = 'X-Server-Load'
# Requests a second, a decimal number, that an upstream takes from all nodes
# together. The platform calls an upstream a server.
RATE_LIMIT = 'Server-Limit'
# Set in all responses of an upstream that is leaving.
LEAVING = 'Server-Leaving'
# Time in milliseconds for which an upstream stays cold, in health checks.
COLD_MS = 'X-Cold-Ms'

OTHER_INSTANCE_STATUS = 421

_LOAD = re.compile(
    r'(\d{1,9}),\s*(\d{1,9}),\s*(\d{1,9})(?:,\s*(\d{1,6}(?:\.\d{1,6})?))?',
    re.ASCII,
)
_DECIMAL = re.compile(r'\d{1,9}(\.\d{1,9})?')

# Headers of a caller that are replaced in the request to the upstream.
_REPLACED_HEADERS = frozenset(
    name.lower() for name in (DEADLINE_MS, EXPECTED_INSTANCE, CALLER)
)
_CREDENTIAL_HEADERS = frozenset(name.lower() for name in (API_KEY, TENANT))


class PlatformHeaderCodec(header_codec.HeaderCodec):
    """Codec for the headers that the platform defines."""

    id_header = REQUEST_ID.lower()

    def decode_caller_headers(
        self, request: messages.Request
    ) -> header_codec.CallerMetadata:
        """Return the metadata in the headers of a caller's request."""
        raw = request.header(DEADLINE_MS.lower())
        deadline_s = None
        if raw.isascii() and raw.isdigit() and len(raw) <= 9:
            deadline_s = int(raw) / 1000
        return header_codec.CallerMetadata(
            request.header(self.id_header), deadline_s
        )

    def key_digests(self, request: messages.Request) -> tuple[bytes, ...]:
        """Return the digests of all keys that a caller's request carries.

        An empty header carries no key. The white space that HTTP allows around
        a value is not part of it.
        """
        name = API_KEY.lower()
        values = (
            value.strip(' \t')
            for key, value in request.headers
            if key.lower() == name
        )
        return tuple(
            # The server decodes the octets of a header as Latin-1.
            keys.digest_of_key(value.encode('latin-1'))
            for value in values
            if value
        )

    def remove_credentials(
        self, headers: messages.Headers
    ) -> messages.Headers:
        """Return headers without keys and without names of teams."""
        return _without(headers, _CREDENTIAL_HEADERS)

    def encode_upstream_headers(
        self,
        headers: messages.Headers,
        metadata: header_codec.UpstreamMetadata,
    ) -> messages.Headers:
        """Return the headers of a request to an upstream."""
        kept = _without(headers, _REPLACED_HEADERS)
        if metadata.team:
            name = metadata.team.encode().decode('latin-1')
            kept = (*self.remove_credentials(kept), (TENANT, name))
        return (
            *kept,
            (DEADLINE_MS, str(int(metadata.remaining_s * 1000))),
            (EXPECTED_INSTANCE, metadata.instance),
            (CALLER, metadata.caller),
        )

    def is_not_run(self, response: messages.Response) -> bool:
        """Return whether an upstream reports that it ran no request."""
        return bool(response.header(NOT_RUN.lower()))

    def is_other_instance(self, response: messages.Response) -> bool:
        """Return whether another instance than the expected one answered."""
        return response.status == OTHER_INSTANCE_STATUS

    def is_from_upstream(self, response: messages.Response) -> bool:
        """Return whether the upstream's program made a response."""
        return bool(response.header(SIGNATURE.lower()))

    def decode_rate_limit(self, response: messages.Response) -> float | None:
        """Return how many requests a second the upstream takes."""
        text = response.header(RATE_LIMIT.lower())
        if not text:
            return None
        if not _DECIMAL.fullmatch(text):
            raise ValueError(f'{text[:40]!r} is not a decimal number')
        return float(text)

    def decode_load(
        self, response: messages.Response
    ) -> model.ReportedLoad | None:
        """Return the load that the upstream reports."""
        text = response.header(LOAD.lower()).strip()
        if not text:
            return None
        match = _LOAD.fullmatch(text)
        if match is None:
            raise ValueError(f'{text[:40]!r} is not a load')
        running, waiting, slots, percent = match.groups()
        if percent is None:
            pace = None
        else:
            pace = float(percent) / 100
            if not pace:
                raise ValueError(f'{text[:40]!r} has a pace of 0')
        return model.ReportedLoad(int(running), int(waiting), int(slots), pace)

    def is_leaving(self, response: messages.Response) -> bool:
        """Return whether the upstream says that it is leaving."""
        return response.header(LEAVING.lower()) == '1'

    def decode_health(
        self, response: messages.Response
    ) -> model.Health | None:
        """Return the result of a health check; None if it failed."""
        instance = response.header(INSTANCE.lower())
        if response.status != 200 or not instance:
            return None
        parts = response.header(LOAD.lower()).split(',')
        slots = (parts[2] if len(parts) == 4 else parts[-1]).strip()
        cold_ms = response.header(COLD_MS.lower())
        return model.Health(
            instance,
            int(slots) if slots.isdecimal() else 0,
            float(cold_ms) / 1000 if _DECIMAL.fullmatch(cold_ms) else math.inf,
        )

    def encode_retry_after(self, delay_s: float) -> messages.Headers:
        """Return the headers that ask a caller to retry after a delay."""
        return ((RETRY_AFTER, f'{delay_s:.2f}'),)


def _without(
    headers: messages.Headers, names: frozenset[str]
) -> messages.Headers:
    """Return the headers whose lower-case names are not among some."""
    return tuple(field for field in headers if field[0].lower() not in names)
