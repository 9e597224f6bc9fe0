"""Bundles: published through any node, in force on all, never gone back."""

import copy
import json
import signal
import subprocess
import threading

import harness

RACES = 100


class Bundles(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.platform = self.cluster.platform()
        self.cluster.engine("copy-1")

    def start_nodes(self, count):
        return [self.cluster.node(f"n{i + 1}") for i in range(count)]

    def status(self, node):
        return self.cluster.status(node)

    def history(self, node):
        return json.loads(harness.http_call(node.operators, "GET", "/operator/v1/history",
                                            headers=harness.OPERATOR)[1])

    def wait_for_version(self, nodes, version):
        harness.wait_until(lambda: all(self.status(node)["version"] == version for node in nodes),
                           f"version {version} in force on all nodes")

    def successor(self, node, **changes):
        """A bundle that follows the one in force there, signed."""
        status = self.status(node)
        bundle = {**copy.deepcopy(self.cluster.bundle), "version": status["version"] + 1,
                  "parent": status["digest"], **changes}
        return self.cluster.sign(bundle)

    def test_a_published_bundle_is_in_force_on_every_node(self):
        nodes = self.start_nodes(3)
        status, result = self.cluster.publish(nodes[1], self.successor(nodes[1]))
        self.assertEqual((status, result["outcome"]), (200, "accepted"), result)
        self.wait_for_version(nodes, 2)
        harness.wait_until(lambda: [each["bundle_version"] for each in self.status(nodes[0])["nodes"]] == [2, 2, 2],
                           "peers tell of the version that is in force with them")
        self.assertEqual([entry["version"] for entry in self.history(nodes[2])], [1, 2])

    # Two operators publish at the same moment through different nodes, each from the bundle in
    # force. If both were told that theirs is accepted, one would believe in a change that never
    # came into force.
    def test_of_two_racing_publishers_one_wins_and_the_other_is_told(self):
        nodes = self.start_nodes(2)
        for race in range(RACES):
            signed = [self.successor(nodes[0], objective={"tail_weight": 1 + race + i / 10}) for i in range(2)]
            results = [None, None]

            def publish(i):
                results[i] = self.cluster.publish(nodes[i], signed[i])[1]

            threads = [threading.Thread(target=publish, args=(i,)) for i in range(2)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.assertEqual(sorted(result["outcome"] for result in results), ["accepted", "lost_race"], results)
            winner = next(result for result in results if result["outcome"] == "accepted")
            self.wait_for_version(nodes, race + 2)
            self.assertEqual({self.status(node)["digest"] for node in nodes}, {winner["digest"]})

    # The log takes the record and its answer is lost on the way. Were the node to append again, or
    # to tell the operator that nothing happened, the account would not match what was said.
    def test_a_lost_answer_is_settled_by_reading_the_log(self):
        [node] = self.start_nodes(1)
        self.platform.faults(lose_answers=1)
        before = self.platform.state()["streams"]["bundles"]
        status, result = self.cluster.publish(node, self.successor(node))
        self.assertEqual((status, result["outcome"]), (200, "accepted"), result)
        self.assertEqual(self.platform.state()["streams"]["bundles"], before + 1)

    # The log is down for the whole of a test. Callers notice nothing; operators are told that
    # nothing was published.
    def test_traffic_goes_on_while_the_log_is_down(self):
        nodes = self.start_nodes(2)
        signed = self.successor(nodes[0])
        for outage in ["refuse", "unavailable"]:
            self.platform.faults(outage=outage)
            harness.wait_until(lambda: not self.status(nodes[0])["log_reachable"], "the outage is noticed")
            for i in range(10):
                status, body, _ = harness.chat(nodes[i % 2].port, f"prompt {i}", 5, True)
                self.assertEqual(status, 200, body)
                self.assertEqual(harness.streamed_text(body),
                                 ("".join(harness.expected_tokens(f"prompt {i}", 5)), True))
            status, result = self.cluster.publish(nodes[0], signed)
            self.assertEqual((status, result["outcome"]), (503, "log_down"), result)
            self.assertEqual(self.status(nodes[0])["version"], 1)
            self.platform.faults(outage="none")
            harness.wait_until(lambda: self.status(nodes[0])["log_reachable"], "the log is back")
        status, result = self.cluster.publish(nodes[0], signed)
        self.assertEqual((status, result["outcome"]), (200, "accepted"), result)

    # A power cut takes all entry hosts at once; nothing is left but the log.
    def test_all_nodes_restarted_at_once_find_their_bundle_in_the_log(self):
        nodes = self.start_nodes(3)
        self.cluster.publish(nodes[0], self.successor(nodes[0]))
        self.wait_for_version(nodes, 2)
        for node in nodes:
            node.stop(signal.SIGKILL)
        restarted = [self.cluster.restart(node) for node in nodes]
        for node in restarted:
            harness.wait_until(lambda node=node: harness.http_call(node.port, "GET", "/readyz")[0] == 200,
                               "ready after the restart")
        self.assertEqual([self.status(node)["version"] for node in restarted], [2, 2, 2])

    # The log is down for hours and a host is replaced. Its peers have the bundle; without them the
    # new node could serve nobody until the log is back.
    def test_a_node_restarted_while_the_log_is_down_takes_its_bundle_from_a_peer(self):
        nodes = self.start_nodes(2)
        self.cluster.publish(nodes[0], self.successor(nodes[0]))
        self.wait_for_version(nodes, 2)
        self.platform.faults(outage="refuse")
        nodes[1].stop(signal.SIGKILL)
        restarted = self.cluster.restart(nodes[1])
        harness.wait_until(lambda: harness.http_call(restarted.port, "GET", "/readyz")[0] == 200, "ready without the log")
        self.assertEqual(self.history(restarted), self.history(nodes[0]))
        harness.wait_until(lambda: "event=engine_up" in restarted.log_text(), "it knows the engine")
        status, body, _ = harness.chat(restarted.port, "bus shelter", 5, True)
        self.assertEqual(status, 200, body)
        self.platform.faults(outage="none")
        harness.wait_until(lambda: all(self.status(node)["log_reachable"] for node in [nodes[0], restarted]),
                           "the log is back")
        status, result = self.cluster.publish(nodes[0], self.successor(nodes[0]))
        self.assertEqual((status, result["outcome"]), (200, "accepted"), result)
        self.wait_for_version([nodes[0], restarted], 3)

    # The log keeps records for a limited time. The bundle must outlive it, for a node that starts
    # later.
    def test_a_checkpoint_carries_the_bundle_beyond_the_logs_retention(self):
        self.platform.faults(retention_records=3)
        nodes = self.start_nodes(2)
        for version in range(2, 8):
            status, result = self.cluster.publish(nodes[0], self.successor(nodes[0]))
            self.assertEqual((status, result["outcome"]), (200, "accepted"), result)
            self.wait_for_version(nodes, version)
        started = self.cluster.node("n3")
        self.wait_for_version([started], 7)
        self.assertEqual([entry["version"] for entry in self.history(started)], list(range(1, 8)))

    def test_a_node_without_a_bundle_is_not_ready_and_says_why(self):
        node = self.cluster.node("n1", publish=False)
        status, body, _ = harness.http_call(node.operators, "GET", "/readyz")
        self.assertEqual(status, 503)
        self.assertIn("no bundle has been accepted yet", body)

    def test_a_bad_operator_key_is_refused_and_logged_without_the_key(self):
        [node] = self.start_nodes(1)
        for path in ["status", "history", "state", "bundle"]:
            status, _, _ = harness.http_call(node.operators, "GET", "/operator/v1/" + path,
                                             headers={"Authorization": "Bearer guessed-key"})
            self.assertEqual(status, 401)
        self.assertIn("event=operator_refused", node.log_text())
        self.assertNotIn("guessed-key", node.log_text())

    def test_a_bundle_that_breaks_a_rule_is_refused_with_every_reason(self):
        [node] = self.start_nodes(1)
        text = json.dumps({**self.cluster.bundle, "version": 2, "colour": 1,
                           "models": [{"id": "copy", "weights": ""}]})
        status, result = self.cluster.publish(node, json.dumps({"bundle": text, "signatures": []}))
        self.assertEqual((status, result["outcome"]), (422, "refused"))
        self.assertEqual({error["field"] for error in result["errors"]}, {"colour", "models[0].weights"})
        for garbage in ["", "null", "[1]", "{" * 1000, json.dumps({"bundle": 1, "signatures": 2})]:
            status, result = self.cluster.publish(node, garbage)
            self.assertEqual((status, result["outcome"]), (422, "refused"), garbage[:20])


class Commands(harness.ClusterTest):
    """The commands as an operator types them."""

    def run_command(self, *arguments):
        done = subprocess.run([f"{self.build}/vanilladyke", *arguments], capture_output=True, text=True,
                              timeout=harness.WAIT_SECONDS, check=False)
        return done.returncode, done.stdout, done.stderr

    def test_from_a_new_key_to_the_account(self):
        self.cluster.engine("copy-1")
        node = self.cluster.node("n1")
        key = self.cluster.path("operator.sign")
        bearer = self.cluster.path("bearer")
        with open(bearer, "w", encoding="utf-8") as out:
            out.write(harness.OPERATOR_KEY + "\n")
        digest = json.loads(self.run_command("bundle", "check", "--json", self.cluster.path("bundle.jsonc"))[1])["digest"]
        bundle = self.cluster.write("next.jsonc", {**self.cluster.bundle, "version": 2, "parent": digest})
        self.assertEqual(self.run_command("bundle", "check", "--against", self.cluster.path("bundle.jsonc"), bundle)[0], 0)
        signed = self.cluster.path("next.signed")
        self.assertEqual(self.run_command("bundle", "sign", bundle, "--key", key, "--out", signed)[0], 0)
        ask = ["--node", f"127.0.0.1:{node.operators}", "--operator-key", bearer]
        code, out, _ = self.run_command("bundle", "publish", signed, *ask)
        self.assertEqual(code, 0)
        self.assertIn("accepted: version 2", out)
        self.assertIn("version 2", self.run_command("bundle", "status", *ask)[1])
        code, out, _ = self.run_command("bundle", "history", "--json", *ask)
        self.assertEqual([entry["version"] for entry in json.loads(out)], [1, 2])
        self.assertEqual(json.loads(out)[1]["signers"], [harness.SIGNER])
        stale = self.cluster.write("stale.jsonc", {**self.cluster.bundle, "version": 2, "parent": digest, "objective": {"tail_weight": 2}})
        self.run_command("bundle", "sign", stale, "--key", key, "--out", signed)
        code, _, error = self.run_command("bundle", "publish", signed, *ask)
        self.assertEqual(code, 1)
        self.assertIn("version 2 was published before it", error)

    def test_exit_codes_and_help(self):
        for arguments in [["keys", "new"], ["keys", "show"], ["bundle", "check"], ["bundle", "sign"],
                          ["bundle", "publish"], ["bundle", "status"], ["bundle", "history"]]:
            self.assertEqual(self.run_command(*arguments, "--help")[0], 0, arguments)
            self.assertEqual(self.run_command(*arguments)[0], 2, arguments)
        self.assertEqual(self.run_command("bundle", "check", "/nonexistent")[0], 1)
        self.assertEqual(self.run_command("bundle", "frobnicate")[0], 2)

    def test_every_error_of_a_bundle_is_told_with_field_value_and_reason(self):
        bundle = self.cluster.write("bad.jsonc", {
            "version": 1, "customers": [{"id": "a", "key_digests": ["x"]}, {"id": "a", "key_digests": []}],
            "models": [{"id": "copy", "weights": "w1"}], "services": [{"id": "s", "backends": []}],
            "engines": [{"id": "e", "endpoint": "127.0.0.1:1", "data_centre": "yaba-hall", "models": ["draft"]}]})
        code, out, _ = self.run_command("bundle", "check", "--json", bundle)
        self.assertEqual(code, 1)
        errors = {error["field"]: error["value"] for error in json.loads(out)["errors"]}
        self.assertEqual(errors, {"customers[1].id": "a", "customers[0].key_digests": "x",
                                  "engines[0].models": "draft", "services[0].backends": ""})


if __name__ == "__main__":
    harness.main()
