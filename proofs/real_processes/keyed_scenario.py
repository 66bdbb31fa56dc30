"""Scenarios of reservations that callers repeat while agents die; both sides' ledgers."""

import signal
from typing import Any

from local import callers, polling
from scenario import Row, ScenarioTest

_ENDLESS_SECONDS = 300


class KeyedScenarioTest(ScenarioTest):
    """Base: callers of the first service in place of the load tool, one test for each class, as the
    endpoints' ledgers are compared whole."""

    caller_flags: tuple[str, ...]
    other_services: tuple[str, ...] = ()

    def setUp(self) -> None:
        ScenarioTest._seed += 1
        self.service = self.spec.services[0].name
        self._callers = callers.CallersRun(self.deployment, callers.CallersSettings(
            service=self.service, seed=ScenarioTest._seed, other_services=self.other_services,
            flags=(f"--duration={_ENDLESS_SECONDS}s", *self.caller_flags)))
        self.addCleanup(self._callers.end)
        self.let_reservations_run()

    def reservations_run(self) -> int:
        """Returns how many reservations the endpoints have run."""
        return callers.executions(self.deployment.ledgers().values()).total()

    def let_reservations_run(self, count: int = 100) -> None:
        """Waits until the endpoints have run so many further reservations."""
        target = self.reservations_run() + count
        polling.wait_until(lambda: self.reservations_run() >= target,
                           f"{count} reservations run")

    def keys_run_twice(self) -> int:
        """Returns how many keys have run more than once."""
        counts = callers.executions(self.deployment.ledgers().values())
        return sum(1 for count in counts.values() if count > 1)

    def kill_and_replace_agent(self, endpoint: str) -> None:
        """Kills an agent while reservations run, and starts it again a while later."""
        agent = self.deployment.agents[endpoint]
        agent.send_signal(signal.SIGKILL)
        agent.wait(limit_seconds=60)
        self.let_reservations_run()
        agent.start()
        self.wait_settled()
        self.let_reservations_run()

    def end_callers(self) -> tuple[dict[str, Any], callers.LedgerDifferences]:
        """Ends the callers, notes the run in the table and returns what it found."""
        self._callers.end()
        report = self._callers.report()
        for ledger in self.deployment.ledgers().values():
            self.assertEqual(0, ledger["http"]["unrecorded"], "the ledger is complete")
        differences = callers.compare_ledgers(report, self.deployment.ledgers().values())
        print(f"{self._testMethodName}: keys answered {len(report['keys']['answered'])}, not run "
              f"{len(report['keys']['not_run'])}, unknown {len(report['keys']['unknown'])}; "
              f"{report['repeats']} repeats, {report['given_up']} attempts given up; "
              f"{len(differences.ran_twice)} ran twice", flush=True)
        ScenarioTest.rows.append(Row(
            scenario=self._testMethodName.removeprefix("test_"), deployment=self.spec.name,
            flows=0, requests=len(report["keys"]["answered"]), sent_again=report["repeats"],
            broken=0, crossed=report["wrong_answers"], moved=0,
            foreign=len(differences.never_sent)))
        return report, differences
