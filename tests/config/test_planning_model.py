"""Planning settings of a forwarder: rejected values, and the resulting pool settings."""

from __future__ import annotations

import json
from typing import Any

import pytest

from sandhatch.config.check import check_text
from sandhatch.config.errors import CheckError
from sandhatch.config.pool_settings import pool_settings
from tests.config.samples import sample

PEER = {"address": "127.0.0.1:7000"}


def problems(**changes: Any) -> str:
    with pytest.raises(CheckError) as found:
        check_text(json.dumps(sample(**changes)))
    return "\n".join(map(str, found.value.problems))


def test_a_shared_warm_up_requires_this_instances_index() -> None:
    reported = problems(pools__web__ramp_per_s=50, pools__web__copies=3)
    assert (
        "pools.web.ramp_per_s: expected planning.place to say which of the 3 copies that share it this one is"
        in reported
    )
    reported = problems(pools__web__ramp_per_s=50, pools__web__copies=3, planning={"place": 3})
    assert "planning.place: expected a number below 3, the copies of pool 'web', got 3" in reported
    assert (
        "pools.web: ramp_burst: expected 0 or at least 1, got 0.5: a smaller burst lets no request through"
        in problems(pools__web__ramp_burst=0.5)
    )


def test_planners_require_exactly_one_kind_of_key() -> None:
    assert "planning: expected exactly one of shared_key_file and private_key_file, got none" in problems(
        planning={"planners": {"p": PEER}}
    )
    reported = problems(planning={"planners": {"p": PEER}, "private_key_file": "k"})
    assert "planners.p.public_key: expected a key, since there is a private_key_file" in reported
    peer = PEER | {"public_key": "ab" * 32}
    reported = problems(planning={"planners": {"p": peer}, "shared_key_file": "k"})
    assert "planners.p.public_key: expected none, since there is no private_key_file" in reported
    assert (
        "planning.planners.p.public_key: expected a text that matches ^[0-9a-fA-F]{64}$, got 'short'"
        in problems(planning={"planners": {"p": PEER | {"public_key": "short"}}, "private_key_file": "k"})
    )


def test_only_a_planned_pool_requires_copies_above_this_forwarders_place() -> None:
    planning = {"place": 2, "planners": {"p": PEER}, "shared_key_file": "k"}
    assert "planning.place: expected a number below 1, the copies of pool 'web', got 2" in problems(
        planning=planning
    )
    data = sample(planning=planning, pools__web__copies=3, pools__orders__planned=False)
    model = check_text(json.dumps(data)).model
    settings = pool_settings(model, model.pools["web"])
    assert (settings.instance_index, settings.instances, settings.ramp_per_s) == (2, 3, 0.0)
    assert model.planning is not None
    assert model.planning.forwarder == "forwarder-2"


def test_without_planning_the_settings_are_those_of_a_single_instance() -> None:
    model = check_text(json.dumps(sample())).model
    settings = pool_settings(model, model.pools["web"])
    assert (settings.instance_index, settings.ramp_per_s, settings.ramp_burst) == (0, 0.0, 0.0)
