"""Plain services behind a node."""

import json

import harness


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
