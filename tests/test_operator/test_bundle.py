"""Tests of the commands for bundles and settings files."""

from __future__ import annotations

import pytest

from damaskpier.bundle import loader

SET_OPTIONS = (
    '--set services.ledger.version=2 --set services.ledger.slots=20 '
    '--set routes.ledger.retire.service=ledger '
    '--set routes.ledger.retire.method=POST '
    '--set routes.ledger.retire.path=/ledger/retire '
    '--set routes.ledger.retire.repeatable=false'
)


def test_created_bundle_passes_the_check_and_keeps_versions_as_text(
    operator, tmp_path
):
    """Guards against parsing the version 2 of a service as a number."""
    path = tmp_path / 'b.yaml'
    assert (
        operator.run(f'bundle create {SET_OPTIONS} --output {path}').code == 0
    )
    bundle = loader.load(path)
    assert bundle.services['ledger'].version == '2'
    assert bundle.routes['ledger.retire'].service == 'ledger'
    assert operator.run(f'bundle validate {path}').code == 0


@pytest.mark.parametrize(
    'text', ['ledger=1', 'services.ledger=1', 'servces.a.version=1', 'x']
)
def test_bad_field_is_refused(operator, text):
    result = operator.run(f'bundle create --set {text}')
    assert (result.code, 'DP-2002' in result.err) == (2, True)


def test_invalid_bundle_is_refused_with_its_line(operator, tmp_path):
    """Guards against a check that reports less than sign-off does.

    The error has to name the line in the file and the result code.
    """
    path = tmp_path / 'b.yaml'
    path.write_text('services: {}\nroutes:\n  r: {service: x}\n')
    result = operator.run(f'--json bundle validate {path}')
    assert result.code == 2
    assert f'{path}:3' in result.err
    assert result.documents[0]['error']['code'] == 'DP-2002'


def test_diff_of_files_needs_no_platform(operator, bundles, monkeypatch):
    """Guards against requiring an address that the command does not use."""
    monkeypatch.delenv('DAMASKPIER_PLATFORM')
    result = operator.run(f'--json bundle diff {bundles[0]} {bundles[1]}')
    assert result.documents[0]['differences'] == [
        {
            'resource': 'service/ledger',
            'field': 'version',
            'old': 'v1',
            'new': 'v2',
        }
    ]


def test_show_and_diff_accept_earlier_versions(operator_with_move, bundles):
    shown = operator_with_move.run('--json bundle show 1').documents[0]
    assert shown['bundle']['services']['ledger']['version'] == 'v1'
    assert 'v2' in operator_with_move.run('bundle diff 1 2').out
    result = operator_with_move.run('bundle show 9')
    assert (result.code, 'holds 1 to 2' in result.err) == (1, True)


def test_config_check_names_line_and_setting(operator, tmp_path):
    path = tmp_path / 'node.ini'
    text = '[node]\nid = n1\nregion = souss\nfailure_domain = souss-1\n'
    path.write_text(text + '[platform]\naddress = 127.0.0.1:1\n')
    result = operator.run(f'--json config check {path}')
    assert result.documents[0]['settings']['mesh']['max_children'] == 8
    path.write_text(text + 'http_prt = 1\n')
    result = operator.run(f'config check {path}')
    assert result.code == 2
    assert f'{path}:5' in result.err
    assert "did you mean 'http_port'" in result.err
