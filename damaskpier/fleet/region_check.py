"""Regions of requests, by the configuration in force on the node.

The entry node and the node beside the worker look them up on their own: after
a change, one of them may have a newer configuration than the other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from damaskpier.balancing import regions
from damaskpier import errors

if TYPE_CHECKING:
    from damaskpier import application
    from damaskpier.traffic import messages


def allowed_regions(
    app: application.Application, request: messages.Request
) -> regions.Allowed:
    """Return the regions to whose workers a request may go.

    The route is found by host and path, as the configuration may have another
    one for them than the node that the request came from knew.
    """
    configuration = app.service('configuration')
    if not configuration.has_regions:
        return None
    route = configuration.table().match(_host(request), _path(request))
    team = configuration.team(request.team)
    return regions.intersect(
        () if route is None else route.allowed_regions,
        () if team is None else team.allowed_regions,
    )


def refuse_without_worker(
    request: messages.Request, allowed: regions.Allowed
) -> errors.Refusal:
    """Return the refusal of a request that no worker may or can take."""
    wanted = f'worker of {request.service} {request.version}'.rstrip()
    if allowed is None:
        return errors.Refusal(errors.CALL_NO_WORKER, f'no {wanted} is ready')
    if not allowed:
        return errors.Refusal(
            errors.CALL_REGION,
            f'the route and the team {request.team} have no region in common',
        )
    return errors.Refusal(
        errors.CALL_REGION,
        f'no {wanted} is ready in {", ".join(sorted(allowed))}',
    )


def refuse_at_worker(
    app: application.Application, request: messages.Request
) -> errors.Refusal | None:
    """Return a refusal if the worker beside this node may not get a request.

    It is checked here again because the entry node may have an older
    configuration, and a request may have waited for a slot since.
    """
    allowed = allowed_regions(app, request)
    region = app.cfg.text('node', 'region')
    if regions.is_allowed(region, allowed):
        return None
    return errors.Refusal(
        errors.CALL_REGION,
        f'the worker is in {region}, the request is restricted to '
        f'{", ".join(sorted(allowed)) or "no region"}',
    )


def _host(request: messages.Request) -> str:
    for name, value in request.headers:
        if name.lower() == 'host':
            return value
    return ''


def _path(request: messages.Request) -> str:
    return request.target.partition('?')[0]
