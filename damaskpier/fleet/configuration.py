"""Configuration in force on the node; service ``configuration``."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from damaskpier import errors
from damaskpier.fleet import model
from damaskpier import registry
from damaskpier.teams import keys
from damaskpier.util import tasks

if TYPE_CHECKING:
    from damaskpier import application

LOG = logging.getLogger(__name__)


class RouteTable:
    """Routes of one configuration by host, longest prefix first."""

    def __init__(self, cfg: model.Configuration) -> None:
        self._hosts: dict[str, list[model.Route]] = {}
        for route in cfg.routes:
            self._hosts.setdefault(route.host, []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        # Every prefix ends with a slash, so that a lookup takes one dictionary
        # access per segment of the path.
        self._prefixes = {
            host: {route.prefix: route for route in reversed(routes)}
            for host, routes in self._hosts.items()
        }

    def match(self, host: str, path: str) -> model.Route | None:
        """Return the route of a request; None if there is none.

        :param host: value of the ``Host`` header, with or without a port
        """
        prefixes = self._prefixes.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None


class ActiveConfiguration(registry.Service):
    """Holds the configuration in force; its version only increases.

    Emits ``config-applied(configuration)``.
    """

    def __init__(self, app: application.Application) -> None:
        self._app = app
        self._current: model.Configuration | None = None
        self._table: RouteTable | None = None
        self._keys: keys.KeyTable[model.Team] = keys.KeyTable()
        self._teams: dict[str, model.Team] = {}
        # Whether any route or team is restricted to regions.
        self.has_regions = False
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to watch the configuration in the store."""
        self._task = tasks.keep_running('configuration', self._follow)
        self._app.service('metrics').register_gauge(
            'config_version', self.version
        )
        self._app.service('metrics').register_gauge(
            'teams', lambda: len(self._teams)
        )

    async def stop(self) -> None:
        """Cancel the watch."""
        if self._task is not None:
            self._task.cancel()

    def current(self) -> model.Configuration | None:
        """Return the configuration in force; None before the first one."""
        return self._current

    def table(self) -> RouteTable | None:
        """Return the routes in force; None before the first version."""
        return self._table

    def keys(self) -> keys.KeyTable[model.Team]:
        """Return the teams in force by their keys."""
        return self._keys

    def team(self, name: str) -> model.Team | None:
        """Return the team in force with a name; None if there is none."""
        return self._teams.get(name)

    def version(self) -> int:
        """Return the version in force; 0 before the first one."""
        return self._current.version if self._current else 0

    def apply(self, cfg: model.Configuration) -> bool:
        """Apply a configuration if it is newer and valid.

        :returns: whether the configuration was applied
        """
        if cfg.version <= self.version():
            return False
        refusal = validate(cfg)
        if refusal is not None:
            LOG.error(
                'config: refused version %d, version %d stays in force: %s',
                cfg.version,
                self.version(),
                refusal,
            )
            return False
        before = self.version()
        self._log_teams(cfg)
        self._current = cfg
        self._table = RouteTable(cfg)
        self._keys = keys.KeyTable(cfg.teams)
        self._teams = {team.name: team for team in cfg.teams}
        self.has_regions = any(
            item.allowed_regions for item in (*cfg.routes, *cfg.teams)
        )
        LOG.info(
            'config: applied version %d with %d routes; previous version %d',
            cfg.version,
            len(cfg.routes),
            before,
        )
        self._app.events.emit('config-applied', cfg)
        return True

    def _log_teams(self, cfg: model.Configuration) -> None:
        if self._current is not None and self._current.teams == cfg.teams:
            return
        known = () if self._current is None else self._current.teams
        change = keys.describe_change(known, cfg.teams)
        if change:
            LOG.info('config: version %d has %s', cfg.version, change)

    async def _follow(self) -> None:
        is_store_lost = False
        async for update in self._app.service('store').configurations():
            if isinstance(update, errors.Refusal):
                if not is_store_lost:
                    LOG.warning('config: can not reach the store: %s', update)
                is_store_lost = True
                continue
            if is_store_lost:
                LOG.info('config: the store is reachable again')
            is_store_lost = False
            self.apply(update)


def validate(cfg: model.Configuration) -> errors.Refusal | None:
    """Return the first error in a configuration; None if it is valid."""
    for route in cfg.routes:
        for destination in route.destinations:
            if destination.service not in cfg.services:
                return errors.Refusal(
                    errors.BUNDLE_REFERENCE,
                    f'route {route.name}: no service {destination.service!r}',
                )
        if not any(
            destination.weight > 0 for destination in route.destinations
        ):
            return errors.Refusal(
                errors.BUNDLE_SCHEMA, f'route {route.name}: no weight'
            )
    for team in cfg.teams:
        # The name is sent to workers in a header.
        if not team.name.isprintable() or team.name != team.name.strip():
            return errors.Refusal(
                errors.BUNDLE_SCHEMA, f'a team can not be named {team.name!r}'
            )
    conflict = keys.find_conflict(cfg.teams)
    if conflict:
        return errors.Refusal(errors.BUNDLE_CONFLICT, conflict)
    return None


def setup(app: application.Application) -> None:
    """Register the service ``configuration``."""
    app.add_service(
        'configuration', ActiveConfiguration(app), after=('metrics', 'store')
    )
