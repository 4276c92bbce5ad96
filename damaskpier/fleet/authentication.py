"""Authentication of callers' requests at the entry node."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.teams import keys

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.fleet import header_codec
    from damaskpier.fleet import model
    from damaskpier.http1 import messages as http_messages
    from damaskpier.traffic import messages

_REASONS = {
    keys.KeyFault.MISSING: 'the request has no key',
    keys.KeyFault.REPEATED: 'the request has more than one key',
    keys.KeyFault.UNKNOWN: 'no team holds the key of the request',
}
# Faults that no other configuration would accept.
_FAULTS_OF_REQUEST = (keys.KeyFault.MISSING, keys.KeyFault.REPEATED)
_NO_CONTACT = 'the node can not tell whether the key is still valid'


class Caller(NamedTuple):
    """Result of the authentication of a request.

    ``team`` is None if the request needs no key. ``headers`` are those to
    forward, without the key and the name of a team if the configuration has
    teams.
    """

    team: model.Team | None
    headers: messages.Headers

    @property
    def team_name(self) -> str:
        """Return the name of the team; empty if there is none."""
        return '' if self.team is None else self.team.name

    def priority(self, route: model.Route) -> int:
        """Return the priority of a request; that of a team goes first."""
        if self.team is None or self.team.priority is None:
            return route.priority
        return self.team.priority


def headers_at_worker(
    app: application.Application,
    codec: header_codec.HeaderCodec,
    request: messages.Request,
) -> messages.Headers:
    """Return the headers of a request before the last hop.

    An entry node that has not received a configuration with teams yet forwards
    the key and a name of the caller's choice.
    """
    if app.service('configuration').keys().is_required:
        return codec.remove_credentials(request.headers)
    return request.headers


class Authenticator:
    """Checks the keys of requests by the configuration in force.

    :param codec: reads and removes the headers of callers
    """

    def __init__(
        self, app: application.Application, codec: header_codec.HeaderCodec
    ) -> None:
        self._app = app
        self._codec = codec

    def authenticate(
        self,
        request: http_messages.Request,
        route: model.Route,
        headers: messages.Headers,
    ) -> Caller | errors.Refusal:
        """Return the caller of a request, or a refusal.

        :param headers: end-to-end headers of the request
        """
        table = self._app.service('configuration').keys()
        if not table.is_required:
            return Caller(None, headers)
        headers = self._codec.remove_credentials(headers)
        if route.is_public:
            return Caller(None, headers)
        found = table.authenticate(self._codec.key_digests(request))
        if found not in _FAULTS_OF_REQUEST and not self._accepts_keys():
            # Whether a team holds the key now is not known.
            return self._refuse(
                'unconfirmed', errors.CALL_KEYS_UNCONFIRMED, _NO_CONTACT
            )
        if isinstance(found, keys.KeyFault):
            return self._refuse(found.value, errors.CALL_KEY, _REASONS[found])
        self._app.service('metrics').increment(
            'authenticated_requests', team=found.name
        )
        return Caller(found, headers)

    def _accepts_keys(self) -> bool:
        return self._app.service('store-contact').accepts_keys()

    def _refuse(
        self, label: str, code: errors.ResultCode, reason: str
    ) -> errors.Refusal:
        self._app.service('metrics').increment(
            'unauthenticated_requests', reason=label
        )
        return errors.Refusal(code, reason)
