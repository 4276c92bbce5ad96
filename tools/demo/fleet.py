"""Workers, routes and bundles of the demonstration."""

from __future__ import annotations

from tools.demo import load
from tools.demo import processes

REGIONS = ('souss', 'moyen-atlas', 'rif')
LEDGER = 'ledger'
PARCELS = 'parcels'

BALANCE = load.Route('ledger.balance', 'GET', '/ledger/balance', True)
RETIRE = load.Route('ledger.retire', 'POST', '/ledger/retire', False)
LOOKUP = load.Route('parcels.lookup', 'GET', '/parcels/lookup', True)
SPLIT = load.Route('parcels.split', 'POST', '/parcels/split', False)
ROUTES = (BALANCE, RETIRE, LOOKUP, SPLIT)

BUNDLE = """\
services:
  ledger: {{version: {ledger}, slots: 20, queue: 40}}
  parcels: {{version: {parcels}, slots: 20, queue: 40}}
routes:
{routes}"""


def workers() -> list[processes.Worker]:
    """Return three workers of each version of each service.

    The two versions of a service run in the same regions, in different
    failure domains.
    """
    found = []
    for service, v1_domain in ((LEDGER, 1), (PARCELS, 2)):
        for version, domain in (('v1', v1_domain), ('v2', 3 - v1_domain)):
            for region in REGIONS:
                found.append(
                    processes.Worker(
                        f'{service}-{version}-{region}',
                        service,
                        version,
                        region,
                        f'{region}-{domain}',
                    )
                )
    return found


def bundle(ledger: str, parcels: str) -> str:
    """Return the YAML of a bundle.

    :param ledger: version of the service ``ledger``
    :param parcels: version of the service ``parcels``
    """
    lines = [
        f'  {route.name}: {{service: {route.name.split(".")[0]}, '
        f'method: {route.method}, path: {route.path}, '
        f'repeatable: {str(route.repeatable).lower()}}}\n'
        for route in ROUTES
    ]
    return BUNDLE.format(ledger=ledger, parcels=parcels, routes=''.join(lines))
