"""Commands that show the fleet, its moves and its nodes."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from cleo import helpers

from damaskpier import errors
from damaskpier.operator import admin
from damaskpier.operator import command
from damaskpier.operator import exits
from damaskpier.operator import follow
from damaskpier.operator import output
from damaskpier.operator import view

if TYPE_CHECKING:
    from damaskpier.bundle import model as bundle_model
    from damaskpier.store import base

WAIT_OPTIONS = (
    helpers.option('wait', None, 'Follow the rollout and print each change.'),
    helpers.option(
        'wait-limit',
        None,
        'Longest wait, such as 90s; by default until 60 s after the latest '
        'stated time, or 60 s where nothing moves.',
        flag=False,
    ),
)

# Keys of the evidence of a route in the table; JSON output has all keys.
EVIDENCE_COLUMNS = (
    'route',
    'failure_domain',
    'state',
    'old_requests',
    'old_failures',
    'new_requests',
    'new_failures',
    'statistic',
)


def to_move_view(move: bundle_model.Move) -> view.MoveView:
    """Convert a move to a view without a state."""
    return view.MoveView(move.move, move.service, move.old, move.new, move.by)


class Status(command.PlatformCommand):
    """Shows the active version and the moves that belong to it."""

    name = 'status'
    description = (
        'Show the active version, where it is in force, and its moves.'
    )
    options = list(WAIT_OPTIONS)

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Read the platform and a root; print the version and its moves."""
        limit_s = self.duration('wait-limit')
        snapshot = await command.read_active_snapshot(store)
        head = snapshot.head
        views = [to_move_view(move) for move in head.moves]
        if self.option('wait'):
            follower = follow.Follower(self.env, store, out, limit_s)
            return await follower.follow(head.version, views)
        fleet, states = await view.read_fleet(
            store, self.env.fetch_page, head.version
        )
        shown = [
            view.merge_state(
                command.unwrap_result(await view.read_state(store, item)),
                states.get(item.move),
            )
            for item in views
        ]
        _print_head(out, head)
        _print_fleet(out, fleet)
        _print_moves(out, shown)
        out.json(
            {
                'version': head.version,
                'digest': head.digest,
                'signed_by': head.signed_by,
                'signed_at': head.signed_at,
                'note': head.note,
                'fleet': fleet.to_document() if fleet else None,
                'moves': [item.to_document() for item in shown],
            }
        )
        return exits.ExitCode.OK


def _print_head(out: output.Output, head: bundle_model.Head) -> None:
    out.text(f'Active version:  {head.version}')
    out.text(
        f'Signed off:      by {head.signed_by} at '
        f'{output.format_time(head.signed_at)}'
    )
    if head.note:
        out.text(f'Note:            {head.note}')
    out.text(f'Bundle:          {head.digest}')


def _print_fleet(out: output.Output, fleet: view.FleetView | None) -> None:
    if fleet is None:
        out.text('In force:        not known; no root of the fleet answers')
        return
    shown = 'not known'
    if fleet.applied is not None:
        shown = f'by at least {fleet.applied} of {fleet.nodes} nodes'
    out.text(
        f'In force:        {shown}; lowest version {fleet.lowest_version} '
        f'(root {fleet.root})'
    )


def _print_moves(out: output.Output, views: list[view.MoveView]) -> None:
    if not views:
        out.text('Moves:           none')
        return
    out.text('')
    rows = [
        (
            item.move,
            item.service,
            f'{item.old} -> {item.new}',
            item.verdict,
            _format_shares(item),
            output.format_time(item.by),
        )
        for item in views
    ]
    out.table(('move', 'service', 'versions', 'verdict', 'shares', 'by'), rows)


def _format_shares(item: view.MoveView) -> str:
    values = sorted(item.shares.values())
    if not values:
        return '-'
    low, high = map(output.format_share, (values[0], values[-1]))
    return low if low == high else f'{low} to {high}'


class Verdict(command.PlatformCommand):
    """Shows the verdict of a move with its reason and evidence."""

    name = 'verdict'
    description = 'Show the verdict of a move: done, taken back or open.'
    arguments = [helpers.argument('move', 'Name of the move.')]
    options = list(WAIT_OPTIONS)

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Read the state of the move from the platform and a root."""
        limit_s = self.duration('wait-limit')
        snapshot = await command.read_active_snapshot(store)
        item = await find_move(store, snapshot, self.argument('move'))
        if self.option('wait'):
            follower = follow.Follower(self.env, store, out, limit_s)
            return await follower.follow(snapshot.version, [item])
        _, states = await view.read_fleet(
            store, self.env.fetch_page, snapshot.version
        )
        item = view.merge_state(item, states.get(item.move))
        _print_verdict(out, item)
        out.json(item.to_document())
        return exits.ExitCode.OK


async def find_move(
    store: base.ObjectStore, snapshot: bundle_model.Snapshot, name: str
) -> view.MoveView:
    """Return a move of the active version, or an earlier one with a state.

    :raises CommandError: if the platform holds nothing about the move, or
        does not answer
    """
    known = {move.move: to_move_view(move) for move in snapshot.head.moves}
    initial = known.get(name, view.MoveView(name))
    item = command.unwrap_result(await view.read_state(store, initial))
    if item is initial and name not in known:
        names = ', '.join(sorted(known)) or 'none'
        raise command.CommandError(
            errors.PLATFORM_NOT_FOUND,
            f'there is no move {name!r}; moves of the active version: {names}',
        )
    return item


def _print_verdict(out: output.Output, item: view.MoveView) -> None:
    out.text(f'Move:      {item.move}')
    if item.service:
        out.text(f'Service:   {item.service}, {item.old} -> {item.new}')
        out.text(f'By:        {output.format_time(item.by)}')
    out.text(f'Verdict:   {follow.format_verdict(item)}')
    rows = [
        (route, output.format_share(share))
        for route, share in sorted(item.shares.items())
    ]
    if rows:
        out.text('')
        out.table(('route', 'share of new version'), rows)
    _print_evidence(out, item.evidence)


def _print_evidence(out: output.Output, evidence: Any) -> None:
    if not isinstance(evidence, dict):
        return
    routes = [
        [entry.get(key) or '-' for key in EVIDENCE_COLUMNS]
        for entry in evidence.get('routes') or ()
        if isinstance(entry, dict)
    ]
    if routes:
        out.text('')
        header = [key.replace('_', ' ') for key in EVIDENCE_COLUMNS]
        out.table(header, routes)


class Nodes(command.PlatformCommand):
    """Lists the nodes in the membership of a root."""

    name = 'nodes'
    description = 'List the nodes with their workers and versions.'

    async def run_with_store(
        self, store: base.ObjectStore, out: output.Output
    ) -> exits.ExitCode:
        """Read the node records from the fleet root or a region root."""
        answer = await admin.fetch_root_page(
            store, self.env.fetch_page, 'nodes'
        )
        if answer is None:
            raise command.CommandError(
                errors.PLATFORM_NOT_FOUND,
                'no root of the fleet answers on its admin port',
                'Check that nodes run and reach the platform; a new root is '
                'elected within seconds.',
            )
        holder, page = answer
        records = page.get('nodes', []) if isinstance(page, dict) else page
        records = sorted(
            (record for record in records if isinstance(record, dict)),
            key=lambda record: str(record.get('node_id', '')),
        )
        header = (
            'node',
            'region',
            'failure domain',
            'service',
            'version',
            'state',
            'configuration',
        )
        out.table(header, [_node_row(record) for record in records])
        out.json({'root': holder.node_id, 'nodes': records})
        return exits.ExitCode.OK


def _node_row(record: dict[str, Any]) -> tuple[Any, ...]:
    applied = view.applied_version(record)
    return (
        record.get('node_id', '-'),
        record.get('region', '-'),
        record.get('failure_domain', '-'),
        record.get('service') or '-',
        record.get('version') or '-',
        node_state(record),
        '-' if applied is None else applied,
    )


def node_state(record: dict[str, Any]) -> str:
    """Return the text for the state of a node and its worker."""
    if record.get('gone'):
        return 'gone'
    if record.get('draining'):
        return 'draining'
    if not record.get('service'):
        return 'no worker'
    return 'ready' if record.get('ready') else 'not ready'
