"""A fake owner of the version lifecycle that carries out its actions one step at a time."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from sandhatch.config.actions import Apply, DiscardStaged, LogMessage, Retire, Save, Stage, Watch
from sandhatch.config.check import CheckedConfiguration, check_text
from sandhatch.config.errors import RejectedError, RejectionReason
from sandhatch.config.transactions import Transactions
from sandhatch.config.version import State, Version
from sandhatch.config.version_lifecycle import VersionLifecycle
from tests.config.samples import checked, sample

WEB3 = sample(pools__web__max_attempts=3)
WEB4 = sample(pools__web__max_attempts=4)
ORDERS3 = sample(pools__orders__max_attempts=3)


def check_data(data: dict[str, Any]) -> CheckedConfiguration:
    return check_text(json.dumps(data))


class FakeOwner:
    """Carries out the lifecycle's actions step by step; records the active version and the disk state."""

    def __init__(self) -> None:
        self.lifecycle = VersionLifecycle(Version(1, 0, checked(), State.STAGING))
        self.transactions = Transactions(self.lifecycle, check_data)
        self.now_ms = 1_000.0
        self.active_version = self.lifecycle.active
        self.staging: list[Version] = []
        self.saves: list[int] = []
        self.retired: list[int] = []
        self.discarded: list[int] = []
        self.watched: list[int] = []
        self.disk = (1, 0)
        self.log_lines: list[str] = []

    def carry_out(self) -> None:
        for action in self.lifecycle.take_actions():
            match action:
                case Stage():
                    self.staging.append(action.version)
                case Save():
                    record = self.lifecycle.record()
                    self.saves.append(action.save_number)
                    self.disk = (record.confirmed, record.pending)
                case Apply():
                    self.active_version = action.version
                case Retire():
                    self.retired.append(action.version.number)
                case DiscardStaged():
                    self.discarded.append(action.version.number)
                case Watch():
                    self.watched.append(action.version.number)
                case LogMessage():
                    self.log_lines.append(action.text)
        assert self.active_version is self.lifecycle.active

    def propose(self, data: dict[str, Any], base: int = 1, may_merge: bool = False) -> int:
        return self.transactions.propose(self.now_ms, base, checked(data), may_merge=may_merge).number

    def commit(self, data: dict[str, Any], base: int = 1, **options: Any) -> Version:
        version = self.transactions.commit(self.now_ms, self.propose(data, base), **options)
        self.carry_out()
        return version

    def finish_staging(self) -> None:
        self.lifecycle.staged(self.staging.pop(0))
        self.carry_out()

    def finish_save(self) -> None:
        self.lifecycle.saved(self.now_ms, self.saves.pop(0))
        self.carry_out()

    def activate(self, data: dict[str, Any], base: int = 1, **options: Any) -> Version:
        version = self.commit(data, base, **options)
        self.finish_staging()
        self.finish_save()
        return version

    def activate_and_confirm(self, data: dict[str, Any], base: int = 1) -> Version:
        version = self.activate(data, base, watched=False)
        self.finish_save()
        return version


@contextmanager
def expect_rejection(reason: RejectionReason) -> Iterator[pytest.ExceptionInfo[RejectedError]]:
    """Expect the `with` block to raise RejectedError with this reason."""
    with pytest.raises(RejectedError) as info:
        yield info
    assert info.value.reason is reason, info.value
