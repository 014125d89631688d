"""The forwarder's part of a configuration: what is refused, and what a change of it does."""

from __future__ import annotations

import json
from pathlib import Path
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


def test_a_shared_ramp_wants_to_know_which_copy_this_is() -> None:
    told = problems(pools__web__ramp_per_s=50, pools__web__copies=3)
    assert (
        "pools.web.ramp_per_s: 3 copies share it; planning.place must say which of them this one is" in told
    )
    told = problems(pools__web__ramp_per_s=50, pools__web__copies=3, planning={"place": 3})
    assert "planning.place: 3: pool 'web' has 3 copies, with places from 0 on" in told
    assert "ramp_burst 0.5 lets no call through" in problems(pools__web__ramp_burst=0.5)


def test_keys_and_planners_go_together() -> None:
    assert "either shared_key_file or private_key_file" in problems(planning={"planners": {"p": PEER}})
    told = problems(planning={"planners": {"p": PEER}, "private_key_file": "k"})
    assert "planners.p.public_key is wanted with private_key_file" in told
    peer = PEER | {"public_key": "ab" * 32}
    told = problems(planning={"planners": {"p": peer}, "shared_key_file": "k"})
    assert "planners.p.public_key has no use without private_key_file" in told
    assert "a text like" in problems(
        planning={"planners": {"p": PEER | {"public_key": "short"}}, "private_key_file": "k"}
    )


def test_a_planned_pool_has_a_place_for_this_forwarder_and_others_need_none() -> None:
    planning = {"place": 2, "planners": {"p": PEER}, "shared_key_file": "k"}
    assert "pool 'web' has 1 copies" in problems(planning=planning)
    data = sample(planning=planning, pools__web__copies=3, pools__orders__planned=False)
    model = check_text(json.dumps(data)).model
    settings = pool_settings(model, model.pools["web"])
    assert (settings.instance_index, settings.instances, settings.ramp_per_s) == (2, 3, 0.0)
    assert model.planning is not None and model.planning.forwarder == "forwarder-2"


def test_without_planning_everything_is_as_before(tmp_path: Path) -> None:
    model = check_text(json.dumps(sample())).model
    settings = pool_settings(model, model.pools["web"])
    assert (settings.instance_index, settings.ramp_per_s, settings.ramp_burst) == (0, 0.0, 0.0)
