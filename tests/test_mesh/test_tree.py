"""Tests of the distribution tree over real streams."""

from __future__ import annotations

from tests.test_mesh import conftest


async def test_regions_form_one_tree_and_receive_the_configuration(fleet):
    await fleet.start('souss', 12, max_children=3)
    await fleet.start('rif', 4)
    await fleet.whole()
    version = await fleet.sign_off(conftest.make_bundle(3))
    await fleet.in_force(version)
    root = fleet.roots()[0]
    await conftest.eventually(
        lambda: root.tree.status().lowest_version == version
    )
