"""The engine stand-in keeps the promises that the other tests build on."""

import json

import harness

CHAIN = "00000000000000000000000000000001:100,00000000000000000000000000000002:200"


class EngineStandin(harness.ClusterTest):
    def start(self, *options):
        process = self.cluster.engine("e1", *options)
        self.port = self.cluster.engines["e1"]
        harness.wait_until(lambda: harness.http_call(self.port, "GET", "/v1/state")[0] == 200, "engine")
        return process

    def complete(self, stream, attempt="a1", tokens=5, resume=0, chain=CHAIN):
        body = json.dumps({"model": "copy", "max_tokens": tokens,
                           "messages": [{"role": "user", "content": "ash"}]})
        headers = {"X-Stream-Id": stream, "X-Attempt-Id": attempt, "X-Resume-Offset": str(resume),
                   "X-Prefix-Chain": chain, "X-Request-Id": "r-" + stream}
        return harness.http_call(self.port, "POST", "/v1/chat/completions", body, headers)

    def state(self):
        return json.loads(harness.http_call(self.port, "GET", "/v1/state")[1])

    def events(self, after=0):
        path = f"/v1/cache_events?after={after}&incarnation={self.state()['incarnation']}"
        return json.loads(harness.http_call(self.port, "GET", path)[1])

    def usage(self, body):
        return json.loads([line for line in body.splitlines() if '"usage"' in line][0][6:])["usage"]

    def test_a_finished_stream_is_resumed_at_an_offset(self):
        self.start()
        self.complete("s1")
        status, body, headers = self.complete("s1", "a2", resume=3)
        self.assertEqual((status, headers["X-Attempt-Id"]), (200, "a2"))
        self.assertEqual(harness.streamed_text(body), ("".join(harness.expected_tokens("ash", 5)[3:]), True))
        self.assertIn("id: a2:4", body)
        self.assertEqual(self.complete("unknown", resume=3)[0], 404)
        self.assertEqual(len(harness.runs(self.port)), 1)

    def test_the_cache_counts_evicts_and_tells_with_gaps(self):
        self.start("--cache-tokens", "250")
        self.assertEqual(self.usage(self.complete("s1")[1])["prompt_tokens_details"]["cached_tokens"], 0)
        self.assertEqual(self.usage(self.complete("s2")[1])["prompt_tokens_details"]["cached_tokens"], 200)
        harness.faults(self.port, drop_events=1)
        self.complete("s3", chain="0000000000000000000000000000000a:200")
        page = self.events()
        self.assertEqual([(e["seq"], e["kind"], e["tokens"]) for e in page["events"]],
                         [(1, "stored", 100), (2, "stored", 200), (4, "evicted", 200), (5, "evicted", 100)])
        self.assertEqual((page["first"], page["next"]), (1, 6))
        self.assertEqual(self.events(after=4)["events"][0]["seq"], 5)

    def test_a_crash_empties_it_under_a_later_incarnation(self):
        self.start()
        self.complete("s1")
        before = self.state()["incarnation"]
        harness.faults(self.port, crash=True)
        self.assertGreater(self.state()["incarnation"], before)
        self.assertEqual(self.events()["events"], [])
        self.assertEqual(self.complete("s1", resume=2)[0], 404)

    def test_orders_with_an_old_fencing_number_are_refused(self):
        self.start("--load-ms", "50")

        def order(fencing, weights):
            body = {"fencing": fencing, "sequence": 0, "models": [{"id": "copy", "weights": weights}]}
            return harness.http_call(self.port, "POST", "/v1/orders", json.dumps(body))

        self.assertEqual(order(7, "w2")[0], 200)
        harness.wait_until(lambda: [m["weights"] for m in self.state()["models"]] == ["w2"], "w2 loaded")
        status, body, _ = order(6, "w1")
        self.assertEqual((status, json.loads(body)), (409, {"highest": 7}))

    def test_a_cancelled_stream_leaves_its_slot(self):
        self.start("--slots", "1", "--step-ms", "20")
        connection = harness.open_stream(self.port, "ash", 100_000, headers={
            "X-Stream-Id": "long", "X-Attempt-Id": "a1", "X-Request-Id": "r"})
        harness.wait_until(lambda: self.state()["running"] == 1, "running")
        self.assertEqual(harness.http_call(self.port, "POST", "/v1/streams/long/cancel")[0], 200)
        self.assertEqual(self.state()["running"], 0)
        connection.close()


if __name__ == "__main__":
    harness.main()
