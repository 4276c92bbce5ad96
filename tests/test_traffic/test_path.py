"""Tests of whole calls through two nodes."""

from __future__ import annotations

import json

from damaskpier.traffic import headers


async def test_call_crosses_two_nodes(start_node, http):
    first = await start_node('n1')
    second = await start_node('n2', service='ledger')
    response = await http(
        first.url + '/ledger/get?id=7', headers={headers.REQUEST_ID: 'r1'}
    )
    assert response.code == 200, response.body
    assert json.loads(response.body)['worker'] == 'n2'
    assert response.headers[headers.VERSION] == 'v1'
    assert response.headers[headers.RUN] == 'run'
    assert second.fake.runs == {'r1': 1}


async def test_unknown_path_is_refused_as_not_run(start_node, http):
    node = await start_node('n1')
    response = await http(node.url + '/nothing')
    assert response.code == 404
    assert response.headers[headers.RESULT] == 'DP-3001'
    assert response.headers[headers.RUN] == 'not-run'
