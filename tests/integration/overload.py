"""Two nodes and two small engines at about twice what the engines can do."""

import json
import re
import threading
import time

import harness

HOT_CALLERS = 96
SMALL_CALLERS = 2
SMALL_CALLS = 15  # of each small caller; the hot ones go on until these are done
TOKENS = 200


class Overload(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        for name in ("copy-1", "copy-2"):
            self.cluster.engine(name)
        for engine in self.cluster.bundle["engines"]:
            engine["slots"] = 4
        self.cluster.bundle["customers"] = [
            {"id": name, "key_digests": [harness.key_digest(name + "-key")]} for name in ("hot", "small")]
        self.cluster.bundle["limits"] = {"first_token_deadline_ms": 6000}
        self.nodes = [self.cluster.node("n1"), self.cluster.node("n2")]
        self.results = {"hot": [], "small": []}

    def call(self, customer, port, prompt):
        status, body, headers = harness.chat(port, prompt, TOKENS, True, customer + "-key")
        if status == 200:
            text, ended = harness.streamed_text(body)
            whole = ended and text == "".join(harness.expected_tokens(prompt, TOKENS))
            self.results[customer].append("whole" if whole else "broken: " + body[-300:])
            return 0.0
        error = json.loads(body)["error"]
        truthful = (error["ran"] == "no" and error["reason"] in ("too_late", "queue_full")
                    and int(headers["Retry-After"]) * 1000 >= error["retry_after_ms"] >= 0
                    and error["request_id"] == headers["X-Request-Id"])
        self.results[customer].append("refused" if truthful else "bad refusal: " + body)
        return error.get("retry_after_ms", 0) / 1000

    def caller(self, customer, number, goes_on):
        turn = 0
        while goes_on(turn):
            node = self.nodes[(number + turn) % len(self.nodes)]
            pause = self.call(customer, node.port, f"{customer} {number} {turn}")
            turn += 1
            time.sleep(min(max(pause, 0.0 if customer == "hot" else 0.2), 1.0))

    # A hot customer keeps twelve times as many requests under way as the engines have slots, and a
    # small one asks now and then. Were they served in the order they come, the small one would be
    # refused or late as often as the hot one.
    def test_everyone_gets_a_whole_answer_or_a_true_refusal_and_the_small_customer_is_served(self):
        done = threading.Event()
        hot = [threading.Thread(target=self.caller, args=("hot", number, lambda turn: not done.is_set()))
               for number in range(HOT_CALLERS)]
        small = [threading.Thread(target=self.caller, args=("small", number, lambda turn: turn < SMALL_CALLS))
                 for number in range(SMALL_CALLERS)]
        for thread in hot + small:
            thread.start()
        for thread in small:
            thread.join()
        done.set()
        for thread in hot:
            thread.join(harness.WAIT_SECONDS)
            self.assertFalse(thread.is_alive())
        everything = self.results["hot"] + self.results["small"]
        self.assertEqual([each for each in everything if each not in ("whole", "refused")], [])
        self.assertIn("refused", self.results["hot"])
        small = self.results["small"]
        self.assertGreaterEqual(small.count("whole"), 0.9 * len(small), small)
        log = "".join(node.log_text() for node in self.nodes)
        for verdict in ("admitted", "queued", "refused"):
            self.assertIn("verdict=" + verdict, log)
        self.assertNotIn("-key", log)


class LimitOverNodes(harness.ClusterTest):
    # All connections of a limited customer reach one of two nodes. Half of its limit would stay
    # unused at the other, and the customer be refused at half of what it pays for.
    def test_the_limit_follows_the_customer_to_its_node(self):
        self.cluster.engine("copy-1")
        self.cluster.bundle["customers"][0].update({"tokens_per_second": 100, "burst_tokens": 50})
        node = self.cluster.node("n1")
        self.cluster.node("n2")
        shares = re.compile(r"reason=rate_limited .*share=([0-9.]+)")

        def asked_and_followed():
            status, body, headers = harness.chat(node.port, "shelter", 20, False)
            if status != 200:
                error = json.loads(body)["error"]
                self.assertEqual((error["reason"], error["ran"]), ("rate_limited", "no"), body)
                self.assertGreaterEqual(int(headers["Retry-After"]) * 1000, error["retry_after_ms"])
            # A node that is alone gives out all of it, one of two that has heard nothing a half.
            return any(0.9 < float(share) < 0.99 for share in shares.findall(node.log_text()))

        harness.wait_until(lambda: "event=peer peer=n2" in node.log_text(), "n1 knows n2")
        harness.wait_until(asked_and_followed, "the limit at n1")


class FailingEngine(harness.ClusterTest):
    # An engine's process is gone, but the nodes have not noticed yet. Requests that were placed
    # there go to the other engine, and their callers see nothing of it.
    def test_a_request_moves_on_from_an_engine_that_is_gone(self):
        gone = self.cluster.engine("copy-1")
        self.cluster.engine("copy-2")
        node = self.cluster.node("n1")
        gone.stop(harness.signal.SIGKILL)
        for turn in range(6):
            status, body, _ = harness.chat(node.port, f"shelter {turn}", 10, False)
            self.assertEqual(status, 200, body)


if __name__ == "__main__":
    harness.main()
