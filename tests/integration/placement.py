"""Prompts with a shared guide go to the engine that has it cached, also from a node that just started."""

import json
import re
import subprocess

import harness

GUIDE = "A guide that many prompts begin with. " * 400


def ask(node, question):
    body = json.dumps({"model": "copy", "stream": True, "max_tokens": 3, "stream_options": {"include_usage": True},
                       "messages": [{"role": "system", "content": GUIDE}, {"role": "user", "content": question}]})
    status, answer, headers = harness.http_call(node.port, "POST", "/v1/chat/completions", body,
                                                {"Authorization": "Bearer brand-key"})
    assert status == 200, answer
    usage = [json.loads(line[6:])["usage"] for line in answer.splitlines() if '"usage"' in line][0]
    return headers["X-Request-Id"], usage["prompt_tokens_details"]["cached_tokens"]


def placement_of(node, request):
    """The fields of the request's placement line."""
    harness.wait_until(lambda: "event=placement request=" + request in node.log_text(), "placement logged")
    line = [line for line in node.log_text().splitlines() if "event=placement request=" + request in line][0]
    return dict(re.findall(r"(\w+)=(\S+)", line))


class Placement(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        for name in ["copy-1", "copy-2", "copy-3", "copy-4"]:
            self.cluster.engine(name)
        self.node = self.cluster.node("n1")

    def test_prompts_with_the_same_guide_go_where_it_is_cached(self):
        first, cached = ask(self.node, "question 0")
        self.assertEqual(cached, 0)
        placed = placement_of(self.node, first)
        self.assertEqual(placed["evidence"], "home")

        def evidence_of_another():
            request, cached = ask(self.node, "another question")
            self.assertGreater(cached, 3000)
            later = placement_of(self.node, request)
            self.assertEqual(later["engine"], placed["engine"])
            return later["evidence"]

        harness.wait_until(lambda: evidence_of_another() == "known", "the view knows the holder")

    # A node is replaced at any time and starts with an empty view of what engines cache. Were it to
    # choose by load alone, every caller of a warm prefix would wait until it is computed anew.
    def test_a_node_that_just_started_knows_the_home_of_a_guide(self):
        first, _ = ask(self.node, "question 0")
        fresh = self.cluster.node("n2")
        request, cached = ask(fresh, "question 1")
        self.assertEqual(placement_of(fresh, request)["engine"], placement_of(self.node, first)["engine"])
        self.assertGreater(cached, 3000)

    # An engine crashes and comes back empty at the same address. What the node knew of its cache is
    # about a life that is over: callers get their answers, and nothing is expected to be cached there.
    def test_a_crashed_engine_is_not_believed_to_hold_anything(self):
        first, _ = ask(self.node, "question 0")
        engine = placement_of(self.node, first)["engine"]
        ups = self.node.log_text().count(f"event=engine_up engine={engine} ")
        harness.faults(self.cluster.engines[engine], crash=True)
        harness.wait_until(
            lambda: self.node.log_text().count(f"event=engine_up engine={engine} ") > ups, "the engine's next life")
        request, cached = ask(self.node, "question 1")
        self.assertEqual(cached, 0)
        self.assertNotIn(placement_of(self.node, request)["evidence"], ["known", "doubted"])

    def test_a_placement_is_explained_from_the_nodes_state(self):
        first, _ = ask(self.node, "question 0")
        engine = placement_of(self.node, first)["engine"]
        request = self.cluster.write("request.json", {"model": "copy", "messages": [
            {"role": "system", "content": GUIDE}, {"role": "user", "content": "question 1"}]})

        def explanation():
            status, state, _ = harness.http_call(self.node.operators, "GET", "/operator/v1/state",
                                                 headers=harness.OPERATOR)
            self.assertEqual(status, 200, state)
            self.assertNotIn("brand-key", state)
            dump = self.cluster.write("state.json", json.loads(state))
            run = subprocess.run([f"{self.build}/vanilladyke", "explain", "--state", dump, "--request", request,
                                  "--customer", "brand", "--json"], capture_output=True, text=True, check=True)
            return json.loads(run.stdout)

        def cached_at_winner():
            told = explanation()
            return max(each["expected_cached_tokens"] for each in told["candidates"]
                       if each["engine"] == told["winner"]) > 3000

        harness.wait_until(cached_at_winner, "the dump holds the guide")
        self.assertEqual(explanation()["winner"], engine)


if __name__ == "__main__":
    harness.main()
