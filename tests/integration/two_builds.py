"""Nodes of two versions in one fleet, and what one version writes read by the other.

`two_builds.py --build build --other-build PATH` takes the other version from PATH; without it both are the same build. The
other integration tests take --other-build, too: every second node that they start is then of the other version."""

import json
import re
import signal
import subprocess
import threading
import time

import harness
import platform_fleet

KILLER = "end of the engine"
GUIDE = "A guide that many prompts begin with. " * 400


class TwoBuilds(platform_fleet.FleetTest):
    """Four nodes, two of each version."""

    def setUp(self):
        super().setUp()
        self.programs = [next(self.cluster.programs) for _ in range(2)]
        self.engines = [self.fleet.engine(f"llm-{i}") for i in range(4)]

    def start_nodes(self):
        nodes = [self.fleet.ready_node(f"n{i}") for i in range(4)]
        for node in nodes:
            self.fleet.wait_ready(node, hears_others=True)
        return nodes

    def check_datagrams(self, nodes):
        for node in nodes:
            metrics = harness.http_call(node.metrics_port, "GET", "/metrics")[1]
            self.assertNotIn("peer_datagrams_unreadable_total", metrics, node.program)

    def test_a_limit_that_one_node_receives_holds_at_all(self):
        """A node of another version that can't read the limit sends the engine more than it can take."""
        nodes = self.start_nodes()
        for number, node in enumerate(nodes):
            self.engines[number].limit = 0.25 + number
            harness.wait_until(lambda n=node, e=self.engines[number]: self.fleet.ask(
                n, "/stream/x", f"l{time.monotonic()}", headers=self.fleet.prompt(f"{random_part():08x}"))[0] and
                f"event=engine_limit backend={e.name} " in n.log_text(), "the node has the limit from an answer")
            for other in nodes:
                harness.wait_until(lambda n=other, e=self.engines[number]:
                                   f"event=engine_limit backend={e.name} " in n.log_text(), "all have the limit")
        self.check_datagrams(nodes)

    def test_placements_are_exchanged(self):
        """A part that one node's requests brought to an engine: a node of another version that can't read where it
        is lets another engine read it again."""
        nodes = self.start_nodes()
        part = f"{random_part():08x}"
        for number in range(8):
            status, _, _ = self.fleet.ask(nodes[number % 4], "/stream/x", f"p{number}", headers=self.fleet.prompt(part))
            self.assertEqual(status, 200)
            time.sleep(0.1)
        used = {engine.name for engine in self.engines for _, fields in engine.requests
                if fields["X-Vanilladyke-Attempt-Id"].startswith("p")}
        self.assertEqual(len(used), 1, "all nodes send the part to one engine")
        self.check_datagrams(nodes)

    def test_a_quarantined_request_is_refused_by_all(self):
        """Engines end under a request at nodes of both versions; each node must refuse it, whoever saw the ends."""
        nodes = self.start_nodes()
        self.fleet.ends_under.add(KILLER.encode())

        def ask(node, identity):
            try:
                return self.fleet.ask(node, "/stream/x", identity, headers=self.fleet.prompt(), body=KILLER)
            except Exception:  # noqa: BLE001: an answer that breaks off promises nothing
                return None, "", {}

        for number in range(8):
            threading.Thread(target=ask, args=(nodes[number % 4], f"killer-{number}")).start()
            time.sleep(0.1)
        for node in nodes:
            def refused(n=node):
                status, body, _ = ask(n, f"again-{time.monotonic()}")
                return status == 503 and json.loads(body)["error"] == "ends_engines"

            harness.wait_until(refused, "the request is refused")
        digests = {re.search(r"event=request_quarantined digest=([0-9a-f]{32})", node.log_text()).group(1)
                   for node in nodes if "event=request_quarantined" in node.log_text()}
        self.assertEqual(len(digests), 1, "both versions derive the same digest")

    def test_a_rollout_ends_under_a_holder_of_either_version(self):
        """The lease's record and the orders' fences come from one version and are read by the other."""
        nodes = self.start_nodes()
        holders, version = set(), 1
        while holders != {node.program for node in nodes} and version < 6:
            version += 1
            self.fleet.name_weights(version)
            harness.wait_until(lambda: all(engine.version == version for engine in self.engines), "engines are new")
            names = {order["holder"].split("@")[0] for engine in self.engines for _, order in engine.orders
                     if order["version"] == version}
            self.assertEqual(len(names), 1)
            holder = [node for node in nodes if node.name in names][0]
            holders.add(holder.program)
            fences = [order["fence"] for engine in self.engines for _, order in sorted(engine.orders, key=lambda o: o[0])]
            self.assertGreater(len(fences), 0)
            holder.stop(signal.SIGKILL)
            back = self.fleet.restart(holder)
            nodes[nodes.index(holder)] = back
            harness.wait_until(lambda n=back: self.fleet.is_ready(n), "the node is back, perhaps of the other version")
        for node in nodes:
            harness.wait_until(lambda n=node: f"version={version} " in n.log_text(), "all have the newest version")
        self.assertEqual(holders, set(self.programs))

    def test_a_configuration_is_in_force_at_both(self):
        nodes = self.start_nodes()
        self.fleet.config["routes"].append(platform_fleet.route("added", "stream", "llm"))
        self.fleet.publish()
        for node in nodes:
            harness.wait_until(lambda n=node: self.fleet.ask(n, "/added/x", f"c{time.monotonic()}",
                                                             headers=self.fleet.prompt())[0] == 200, "the new route")

    def test_logs_of_both_versions_are_explained_together(self):
        nodes = self.start_nodes()
        for node in nodes[:2]:
            self.assertEqual(self.fleet.ask(node, "/stream/x", "both", headers=self.fleet.prompt())[0], 200)
            harness.wait_until(lambda n=node: "outcome=answered" in n.log_text(), "the answer is logged")
        results = []
        for program in self.programs:
            done = subprocess.run([program, "explain", "--id", "both", "--json", nodes[0].log_path, nodes[1].log_path],
                                  capture_output=True, text=True, check=True)
            results.append(json.loads(done.stdout))
            self.assertEqual({line["node"] for line in results[-1]["lines"]}, {"n0", "n1"})
            self.assertTrue(results[-1]["verdict"])
        self.assertEqual(results[0]["lines"], results[1]["lines"])

    def test_settings_are_accepted_by_both(self):
        node = self.fleet.ready_node("n0")
        for program in self.programs:
            subprocess.run([program, "node", "--check", "--settings", node.settings], check=True,
                           stdout=subprocess.DEVNULL)


class TwoBuildsByBundle(harness.ClusterTest):
    """Nodes that are driven by bundles."""

    def setUp(self):
        super().setUp()
        self.programs = [next(self.cluster.programs) for _ in range(2)]
        for name in ("copy-1", "copy-2", "copy-3"):
            self.cluster.engine(name)

    def test_a_bundle_published_to_one_is_in_force_on_all(self):
        """Each version publishes in turn; the log's records and the checkpoint are read by the other."""
        nodes = [self.cluster.node(f"n{i}") for i in range(4)]
        for node in nodes:
            version = self.cluster.status(node)["version"] + 1
            self.cluster.publish_bundle(node)
            harness.wait_until(lambda v=version: all(self.cluster.status(each)["version"] == v for each in nodes),
                               "the bundle is in force on all nodes")

    def test_a_state_dump_of_either_is_explained_alike(self):
        request = self.cluster.write("request.json", {"model": "copy", "messages": [
            {"role": "system", "content": GUIDE}, {"role": "user", "content": "question 1"}]})
        for name in ("n0", "n1"):
            node = self.cluster.node(name)
            status, answer, _ = harness.chat(node.port, GUIDE, 3, True)
            self.assertEqual(status, 200, answer)
            state = harness.http_call(node.operators, "GET", "/operator/v1/state", headers=harness.OPERATOR)[1]
            dump = self.cluster.write(f"state-{name}.json", json.loads(state))
            told = [json.loads(subprocess.run([program, "explain", "--state", dump, "--request", request, "--customer",
                                               "brand", "--json"], capture_output=True, text=True, check=True).stdout)
                    for program in self.programs]
            self.assertEqual(told[0], told[1])


def random_part():
    return time.monotonic_ns() & 0xffffffff


if __name__ == "__main__":
    harness.main()
