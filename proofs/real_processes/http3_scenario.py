"""Scenarios of HTTP/3 services: boards, reservations and drawings, with both sides' ledgers."""

import collections
from typing import Any

from local import admin, nodes, polling
from scenario import Row, ScenarioTest

_SEED_SHIFT = 32  # flow numbers have the load tool's seed in their upper half


class Http3ScenarioTest(ScenarioTest):
    """Base of the scenarios whose services are HTTP/3."""

    flows_per_second = 15

    def end_load(self, check_ledgers: bool = True) -> dict[str, Any]:
        """Ends the load run and returns its report, having noted it in the table."""
        self._load.end()
        report = self._load.report()
        services = report["services"].values()
        doubled, false_refusals, lost, unexplained = self._compare_reservations(report)
        ScenarioTest.rows.append(Row(
            scenario=self._testMethodName.removeprefix("test_"), deployment=self.spec.name,
            flows=sum(service["flows_opened"] for service in services),
            requests=sum(service[kind]["answered"] for service in services
                         for kind in ("reservations", "drawings")),
            sent_again=0,
            broken=sum(service["flows_broken"] for service in services),
            crossed=sum(service[kind]["crossed"] + service[kind]["cut_as_whole"]
                        for service in services for kind in ("reservations", "drawings")),
            moved=0, foreign=len(unexplained)))
        self.assertEqual([], doubled, "reservations that ran twice")
        self.assertEqual([], false_refusals, "reservations called 'not run' that ran")
        self.assertEqual([], lost, "reservations that were answered and did not run")
        self.assertEqual([], unexplained, "reservations in a ledger that no caller of it sent")
        return report

    def assert_nothing_broke(self) -> None:
        """Ends the load and checks boards, answers and both sides' ledgers."""
        report = self.end_load()
        for name, service in report["services"].items():
            self.assertEqual({}, service["broken_by_cause"], f"broken flows of {name}")
            self.assertEqual(0, service["board_gaps"], f"board events of {name} that are missing")
            for kind in ("reservations", "drawings"):
                self.assertEqual(0, service[kind]["crossed"], f"crossed {kind} of {name}")
                self.assertEqual(0, service[kind]["cut_as_whole"], f"cut {kind} of {name}")
                self.assertGreater(service[kind]["answered"], 0, f"answered {kind} of {name}")

    def assert_no_request_cut(self) -> None:
        """Checks of a load that has ended that no request lost its answer.

        Reservations may be answered "outcome unknown" without having run, while the agents can't
        vouch for a key (design note 0011); one that ran must have been answered.
        """
        executions = collections.Counter()
        for ledger in self.deployment.ledgers().values():
            executions.update(ledger["http"]["reservations"])
        for name, service in self._load.report()["services"].items():
            self.assertEqual(0, service["drawings"]["unknown"], f"drawings of {name} cut")
            cut = [key for key in service["reservation_keys"]["unknown"] if executions[key] > 0]
            self.assertEqual([], cut, f"reservations of {name} that ran without an answer")

    def let_requests_run(self, count: int = 10) -> None:
        """Waits until each service's endpoints have run so many further requests of each kind.

        A single drawing makes up thousands of datagrams, so traffic that passes proves none of them.
        """
        before = self._requests_run()
        for (service, kind), runs in before.items():
            polling.wait_until(
                lambda key=(service, kind), target=runs + count: self._requests_run()[key] >= target,
                f"{count} {kind} of {service} run")

    def _requests_run(self) -> dict[tuple[str, str], int]:
        """Returns how many requests ran since the endpoints were started, by service and kind."""
        runs: collections.Counter = collections.Counter()
        for ledger in self.deployment.ledgers().values():
            runs[ledger["service"], "reservations"] += sum(ledger["http"]["reservations"].values())
            runs[ledger["service"], "drawings"] += ledger["http"]["drawings"]
        return runs

    def drain_and_see_hand_over(self, endpoint: nodes.Endpoint, path: str) -> bool:
        """Drains an endpoint that has callers; tells whether one of them was answered elsewhere."""
        polling.wait_until(lambda: self._open_flows(endpoint) >= 4, "the endpoint has callers")
        before = self.hand_overs_answered(endpoint)
        self.deployment.control("drain", path)
        polling.wait_until(lambda: self.hand_overs_answered(endpoint) > before
                           or self._open_flows(endpoint) == 0,
                           "a drained endpoint's request is answered elsewhere, or none came")
        return self.hand_overs_answered(endpoint) > before

    def _open_flows(self, endpoint: nodes.Endpoint) -> int:
        return admin.read_metric(endpoint.agent.admin_address, "gaugevalve_agent_open_flows")

    def hand_overs_answered(self, endpoint: nodes.Endpoint) -> int:
        """Returns how many requests the endpoint's agent handed over that were answered elsewhere."""
        return admin.read_metric(endpoint.agent.admin_address,
                                 'gaugevalve_agent_hand_overs_ended_total{reason="answered"}')

    def boards_seen_by(self, endpoint: str) -> int:
        """Returns how many boards were opened at an endpoint since it was started."""
        return self.deployment.ledgers()[endpoint]["http"]["boards"]

    def wait_for_no_new_boards(self, endpoint: str) -> None:
        """Waits until traffic passes without a new board at the endpoint."""

        def saw_none() -> bool:
            before = self.boards_seen_by(endpoint)
            self.let_traffic_pass(2000)
            return self.boards_seen_by(endpoint) == before

        polling.wait_until(saw_none, f"no new board comes to {endpoint}")

    def _compare_reservations(self, report: dict[str, Any]) -> tuple[list[str], ...]:
        """Returns keys that ran twice, ran though refused, were answered without running, and
        ran at a service whose callers never sent them."""
        executions: dict[str, collections.Counter] = collections.defaultdict(collections.Counter)
        for ledger in self.deployment.ledgers().values():
            self.assertEqual(0, ledger["http"]["unrecorded"], "the ledger is complete")
            for key, count in ledger["http"]["reservations"].items():
                if int(key.split("-")[4], 16) >> _SEED_SHIFT == ScenarioTest._seed:
                    executions[ledger["service"]][key] += count
        doubled, false_refusals, lost, unexplained = [], [], [], []
        for name, service in report["services"].items():
            keys = service["reservation_keys"]
            ran = executions[name]
            doubled += [key for key, count in ran.items() if count > 1]
            false_refusals += [key for key in keys["not_run"] if ran[key] > 0]
            lost += [key for key in keys["answered"] if ran[key] == 0]
            sent = {key for outcome in keys.values() for key in outcome}
            unexplained += [key for key, count in ran.items() if count > 0 and key not in sent]
        return doubled, false_refusals, lost, unexplained
