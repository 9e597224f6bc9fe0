"""Calls that may not be repeated, through real nodes, a log and a service."""

import concurrent.futures
import signal
import time

import harness


class Claims(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.log = self.cluster.platform()
        self.service = self.cluster.service("booking")
        self.nodes = [self.cluster.node(name) for name in ("n1", "n2", "n3")]

    def assert_refused(self, answer, reason, ran):
        error = answer[1]["error"]
        self.assertEqual((error["reason"], error["ran"]), (reason, ran), error)

    def test_a_repeat_at_any_node_gets_the_first_answer(self):
        key = harness.uuid7()
        first = harness.book(self.nodes[0].port, "shelter 7", key)
        self.assertEqual(first[0], 200, first)
        for node in self.nodes:
            status, answer, headers = harness.book(node.port, "shelter 7", key, attempt=2)
            self.assertEqual((status, answer), (200, first[1]))
            self.assertEqual(headers.get("Idempotency-Replayed"), "true")
        self.assertEqual(len(self.service.runs()), 1)

    def test_all_nodes_at_once_run_it_once(self):
        # An impatient client sends its booking to three nodes at the same moment. Run more than
        # once, it would take the panel twice.
        for _ in range(10):
            key = harness.uuid7()
            with concurrent.futures.ThreadPoolExecutor() as pool:
                answers = list(pool.map(lambda node: harness.book(node.port, key, key), self.nodes * 3))
            self.assertEqual({answer[1]["run"] for answer in answers}, {answers[0][1]["run"]})
        self.assertEqual(len(self.service.runs()), 10)

    def test_keys_are_checked_before_anything_is_sent(self):
        port = self.nodes[0].port
        self.assert_refused(harness.book(port, "x"), "key_missing", "no")
        self.assert_refused(harness.book(port, "x", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f"), "key_missing", "no")
        self.assert_refused(harness.book(port, "x", harness.uuid7(time.time() + 3600)), "key_expired", "no")
        self.assert_refused(harness.book(port, "x", harness.uuid7(time.time() - 3600)), "key_expired", "unknown")
        self.assertEqual(self.service.runs(), [])
        key = harness.uuid7()
        self.assertEqual(harness.book(port, "x", key)[0], 200)
        self.assert_refused(harness.book(self.nodes[1].port, "y", key), "key_reused", "no")
        self.assertEqual(len(self.service.runs()), 1)

    def test_a_log_that_is_down_refuses_and_says_that_nothing_ran(self):
        # The log is down for a while. A booking that went out unclaimed could be doubled; one that
        # is refused must really not have run.
        for outage in ("refuse", "unavailable"):
            self.log.faults(outage=outage)
            key = harness.uuid7()
            self.assert_refused(harness.book(self.nodes[0].port, "x", key), "log_unavailable", "no")
            self.assert_refused(harness.book(self.nodes[1].port, "x", key, attempt=2), "log_unavailable", "unknown")
            self.assertEqual(self.service.runs(), [])
            self.log.faults(outage="none")
        harness.wait_until(lambda: harness.book(self.nodes[0].port, "x", key, 2)[0] == 200, "the log is used again")
        self.assertEqual(len(self.service.runs()), 1)

    def test_a_lost_append_answer_is_settled(self):
        # The log takes the claim, and the answer to that gets lost. The caller notices no more than
        # a short delay.
        self.log.faults(lose_answers=1)
        status, answer, _ = harness.book(self.nodes[0].port, "x", harness.uuid7())
        self.assertEqual(status, 200, answer)
        self.assertEqual(len(self.service.runs()), 1)

    def test_a_lost_answer_of_the_service_is_unknown_to_all_repeats(self):
        # The service books, and its answer gets lost. Sent again, the booking would run twice;
        # called "not run", the client would book elsewhere.
        self.service.faults(lose_answers=1)
        key = harness.uuid7()
        self.assert_refused(harness.book(self.nodes[0].port, "x", key), "backend_failed", "unknown")
        for node in self.nodes:
            self.assert_refused(harness.book(node.port, "x", key, 2), "outcome_unknown", "unknown")
        self.assertEqual(len(self.service.runs()), 1)

    def test_a_service_that_is_down_frees_the_key(self):
        self.service.stop(signal.SIGKILL)
        self.assert_refused(harness.book(self.nodes[0].port, "x", harness.uuid7()), "backend_failed", "no")

    def test_claims_outlive_all_nodes(self):
        # Every node is killed and replaced. A client that repeats its booking afterwards must get
        # its first answer, not a second panel.
        key = harness.uuid7()
        first = harness.book(self.nodes[0].port, "x", key)
        harness.wait_until(lambda: self.log.state()["streams"]["claims"] >= 2, "the outcome is in the log")
        for node in self.nodes:
            node.stop(signal.SIGKILL)
        fresh = self.cluster.node("n4")
        self.assertEqual(harness.book(fresh.port, "x", key, 2)[:2], first[:2])
        self.assertEqual(len(self.service.runs()), 1)

    def test_a_killed_owner_leaves_its_call_unknown(self):
        # The node is killed while the service works on the booking. Whether it ran, nobody can say.
        self.service.faults(slow_ms=1500)
        key = harness.uuid7()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            call = pool.submit(harness.book, self.nodes[0].port, "x", key)
            harness.wait_until(lambda: self.service.started() == 1, "the service works on it")
            self.nodes[0].stop(signal.SIGKILL)
            self.assertIsInstance(call.exception(), OSError)
        answer = harness.book(self.nodes[1].port, "x", key, 2, seconds=1.0)
        self.assert_refused(answer, "outcome_unknown", "unknown")
        harness.wait_until(lambda: len(self.service.runs()) == 1, "it ran")
        self.assertEqual(self.service.started(), 1)


class Deduplicating(harness.ClusterTest):
    def test_a_service_that_deduplicates_is_served_while_the_log_is_down(self):
        log = self.cluster.platform()
        service = self.cluster.service("booking", deduplicates=True)
        service.faults(deduplicate=True)
        node = self.cluster.node("n1")
        log.faults(outage="refuse")
        key = harness.uuid7()
        self.assertEqual(harness.book(node.port, "x", key)[0], 200)
        self.assertEqual(harness.book(node.port, "x", key, 2)[0], 200)
        self.assertEqual(len(service.runs()), 1)


if __name__ == "__main__":
    harness.main()
