"""Reload of the configuration file by SIGHUP.

The file is read again, proposed against the active version, and committed. If the file has errors, or another
change is in progress, the active version stays and the reason is logged.
"""

from __future__ import annotations

import asyncio

from sandhatch.config.check import CheckedConfiguration, check_file
from sandhatch.config.errors import CheckError, RejectedError
from sandhatch.runtime.coalescing_runner import CoalescingRunner
from sandhatch.service.service import Service

MAX_LOGGED_PROBLEMS = 5
AUTHOR = "SIGHUP"


class Reload:
    """Reloads the configuration file when `trigger` is called; calls during a reload cause another."""

    def __init__(self, service: Service, path: str) -> None:
        """Reload the file at `path` into the service."""
        self._service = service
        self._path = path
        self.trigger = CoalescingRunner(self._reload).trigger

    async def _reload(self) -> None:
        logger = self._service.logger
        try:
            # Reading and checking run on a thread, so that a slow disk or a long file delays no request.
            checked = await asyncio.to_thread(check_file, self._path)
            self._commit(checked)
        except CheckError as failure:
            for problem in failure.problems[:MAX_LOGGED_PROBLEMS]:
                logger.write_line(f"reload: {problem}")
        except RejectedError as rejected:
            logger.write_line(f"reload: {rejected.reason.value}: {rejected.text}")

    def _commit(self, checked: CheckedConfiguration) -> None:
        proposal = self._service.propose_checked(checked, None, AUTHOR, f"reload of {self._path}")
        try:
            version = self._service.commit(proposal.number)
        except RejectedError:
            if proposal.number in self._service.transactions.proposals:
                self._service.discard(proposal.number)
            raise
        self._service.logger.write_line(f"reload: version {version.number}, {version.changes} keys changed")
