"""Plain services behind a node."""

import concurrent.futures
import json
import time

import harness

DEADLINE_SECONDS = 5.0
LATE_MS = 3000  # in the second half of the deadline
PARALLEL_CALLS = 12  # the order of the servers is random; one call alone may meet the harmless one


class Services(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.ports = [harness.free_port(), harness.free_port()]
        for port in self.ports:
            self.cluster.start(f"service-{port}", [f"{self.build}/tests/standin_service", "--port", str(port)])
            harness.wait_until(lambda p=port: harness.http_call(p, "GET", "/control/log")[0] == 200, "service")
        self.cluster.bundle["services"] = [
            {"id": "tags", "backends": [f"127.0.0.1:{port}" for port in self.ports], "repeatable": True},
            {"id": "booking", "backends": [f"127.0.0.1:{self.ports[0]}"]}]
        self.node = self.cluster.node("n1")

    def call(self, method, path, body=None, headers=None):
        return harness.http_call(self.node.port, method, path, body,
                                 {"Authorization": "Bearer brand-key", **(headers or {})})

    def total(self):
        return sum(json.loads(harness.http_call(port, "GET", "/control/log")[1])["total"] for port in self.ports)

    def test_a_call_is_passed_on_and_the_key_stays_here(self):
        status, body, headers = self.call("PUT", "/services/tags/photos/7?size=2", "x" * 1000)
        answer = json.loads(body)
        self.assertEqual((status, answer["path"], answer["method"], answer["bytes"]),
                         (200, "/photos/7?size=2", "PUT", 1000))
        self.assertEqual((answer["customer"], answer["authorization"]), ("brand", ""))
        self.assertIn("event=service_call request=" + headers["X-Request-Id"], self.node.log_text())
        self.assertEqual(json.loads(self.call("GET", "/services/tags")[1])["path"], "/")

    def test_a_multipart_body_is_passed_on_byte_for_byte(self):
        """Photos come as multipart forms, which the HTTP library takes apart; put together again they
        would differ from what the client signed."""
        form = "--b\r\nContent-Disposition: form-data; name=\"f\"\r\n\r\nphoto\r\n--b--\r\n"
        body = self.call("POST", "/services/tags/p", form, {"Content-Type": "multipart/form-data; boundary=b"})[1]
        self.assertEqual(json.loads(body)["body"], form)

    def test_a_lost_answer_is_fetched_from_the_other_backend(self):
        """A backend runs the call and its answer is lost on the way. A call that may be repeated is
        sent to another, and the caller notices nothing."""
        harness.faults(self.ports[0], lose_answers=1)
        harness.faults(self.ports[1], lose_answers=0)
        for _ in range(20):
            self.assertEqual(self.call("POST", "/services/tags/p", "x")[0], 200)
        self.assertGreaterEqual(self.total(), 20)

    def limit_retries(self, fraction):
        self.cluster.bundle["limits"] = {**self.cluster.bundle.get("limits", {}), "retry_fraction": fraction}
        self.cluster.ensure_bundle(self.node)

    def timed_call(self, _=None):
        """Status, body and seconds of a call that ends with DEADLINE_SECONDS."""
        begun = time.monotonic()
        deadline = str(int((time.time() + DEADLINE_SECONDS) * 1000))
        status, body, _ = self.call("POST", "/services/tags/p", "x", {"X-Request-Deadline": deadline})
        return status, body, time.monotonic() - begun

    def calls_at_once(self):
        with concurrent.futures.ThreadPoolExecutor(PARALLEL_CALLS) as pool:
            return list(pool.map(self.timed_call, range(PARALLEL_CALLS)))

    def test_a_late_server_keeps_its_call_if_the_retry_budget_is_spent(self):
        """Without a retry no other server can be asked, so the first has the whole time."""
        self.limit_retries(0)
        for port in self.ports:
            harness.faults(port, lose_answers=1000)
        harness.wait_until(lambda: "retry_budget_spent" in self.timed_call()[1], "the budget is spent")
        for port in self.ports:
            harness.faults(port, lose_answers=0, delay_ms=LATE_MS)
        before = self.total()
        status, body, _ = self.timed_call()
        self.assertEqual((status, self.total() - before), (200, 1), body)

    def test_a_late_server_keeps_its_call_if_the_other_refuses_the_connection(self):
        self.cluster.bundle["services"][0]["backends"][1] = f"127.0.0.1:{harness.free_port()}"
        self.limit_retries(1)
        harness.faults(self.ports[0], delay_ms=LATE_MS)
        self.assertEqual([call[:2] for call in self.calls_at_once() if call[0] != 200], [])

    def test_a_late_server_keeps_its_call_if_the_other_answers_with_an_error(self):
        """A server that is asked first may pass on its error at once; asked beside another, it must
        not end the call that the other one will answer."""
        self.limit_retries(1)
        harness.faults(self.ports[0], delay_ms=LATE_MS)
        harness.faults(self.ports[1], status=503, count=1000)
        harness.wait_until(self.some_met_the_late_server, "a call meets the late server first")

    def some_met_the_late_server(self):
        """Calls of which each has the answer of the server that it met first, none a refusal of the node."""
        calls = self.calls_at_once()
        for status, body, seconds in calls:
            self.assertEqual(status, 200 if seconds > DEADLINE_SECONDS / 2 else 503, body)
            self.assertIn("run", json.loads(body))
        return any(status == 200 for status, _, _ in calls)

    def test_refusals_are_truthful(self):
        """A service that nobody knows, and a call that may not be repeated: without a key, and while
        the log is away and the node can't claim it. Nothing may have run."""
        self.cluster.platform_process.faults(outage="refuse")
        harness.wait_until(lambda: not self.cluster.status(self.node)["log_reachable"], "the outage is noticed")
        key = {"Idempotency-Key": harness.uuid7()}
        for path, headers, expected in [("/services/none/x", {}, (404, "unknown_service")),
                                        ("/services/booking/b", {}, (400, "key_missing")),
                                        ("/services/booking/b", key, (503, "log_unavailable"))]:
            status, body, _ = self.call("POST", path, "{}", headers)
            error = json.loads(body)["error"]
            self.assertEqual((status, error["reason"], error["ran"]), (*expected, "no"))
        self.assertEqual(self.total(), 0)


if __name__ == "__main__":
    harness.main()
