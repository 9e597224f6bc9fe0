"""One request from a caller through a node to an engine and back."""

import json
import signal

import harness


class FirstPath(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.cluster.engine("copy-1")
        self.node = self.cluster.node("n1")

    def test_a_prompt_is_streamed_whole_and_in_order(self):
        status, body, headers = harness.chat(self.node.port, "bus shelter", 20, True)
        self.assertEqual(status, 200, body)
        self.assertIn("X-Request-Id", headers)
        text, ended = harness.streamed_text(body)
        self.assertEqual(text, "".join(harness.expected_tokens("bus shelter", 20)))
        self.assertTrue(ended)
        self.assertIn("event=placement request=" + headers["X-Request-Id"], self.node.log_text())

    def test_a_whole_answer_is_the_same_text(self):
        status, body, _ = harness.chat(self.node.port, "bus shelter", 20, False)
        self.assertEqual(status, 200, body)
        text = json.loads(body)["choices"][0]["message"]["content"]
        self.assertEqual(text, "".join(harness.expected_tokens("bus shelter", 20)))

    def test_refusals_say_why_and_that_nothing_ran(self):
        for key, model, expected in [("nobody", "copy", (401, "unknown_customer")),
                                     ("brand-key", "none", (404, "unknown_model"))]:
            body = json.dumps({"model": model, "messages": [{"role": "user", "content": "x"}]})
            status, answer, _ = harness.http_call(self.node.port, "POST", "/v1/chat/completions", body,
                                                  {"Authorization": "Bearer " + key})
            error = json.loads(answer)["error"]
            self.assertEqual((status, error["reason"]), expected)
            self.assertEqual(error["ran"], "no")
        self.assertNotIn("brand-key", self.node.log_text())

    def test_a_planned_stop_exits_with_0(self):
        self.assertEqual(self.node.stop(), 0)

    def test_a_node_that_is_held_up_while_it_stops_serves_until_the_lag_has_passed(self):
        """A frozen and resumed process has its wait for a second signal interrupted. Were that taken
        for the end of the lag, callers that the balancer still sends would be refused or reset."""
        node = self.cluster.node("n2", balancer_lag_ms=600_000)
        node.popen.send_signal(signal.SIGTERM)
        harness.wait_until(lambda: harness.http_call(node.port, "GET", "/readyz")[0] == 503, "leaving")
        for turn in range(20):
            node.hold_up()
            node.go_on()
            status, body, _ = harness.chat(node.port, f"held up {turn}", 5, False)
            self.assertEqual(status, 200, body)
        self.assertEqual(node.stop(), 0)
        self.assertIn("event=stopping_at_once", node.log_text())


if __name__ == "__main__":
    harness.main()
