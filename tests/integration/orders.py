"""Orders to engines, and backend servers that leave."""

import json
import signal
import threading

import harness

ENGINES = 3


def engine_state(port):
    return json.loads(harness.http_call(port, "GET", "/v1/state")[1])


def held(port):
    return [model["weights"] for model in engine_state(port)["models"]]


def orders(port):
    return json.loads(harness.http_call(port, "GET", "/control/log")[1])["orders"]


class Orders(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.platform = self.cluster.platform()

    def start(self, nodes, *options):
        for i in range(ENGINES):
            self.cluster.engine(f"copy-{i + 1}", "--load-ms", "300", *options)
        self.ports = list(self.cluster.engines.values())
        return [self.cluster.node(f"n{i + 1}") for i in range(nodes)]

    def publish_weights(self, node, weights):
        self.cluster.bundle["models"] = [{"id": "copy", "weights": weights}]
        self.cluster.bundle["limits"] = {"loads_at_once": 2}
        self.cluster.publish_bundle(node)

    def wait_for_weights(self, weights):
        harness.wait_until(lambda: all(held(port) == [weights] for port in self.ports), weights + " on every engine")

    # New weights are rolled out while callers go on. Were all engines to load at once, callers
    # would be refused; were a node to go on with the old weights, a caller would get an answer from
    # them after another caller already had one from the new ones.
    def test_a_roll_of_new_weights_under_load_refuses_nothing(self):
        nodes = self.start(2)
        answers = []
        stop = threading.Event()

        def call(index):
            node = nodes[index % len(nodes)]
            count = 0
            while not stop.is_set():
                prompt = f"caller {index} prompt {count % 5}"
                switched = all("weights_in_service model=copy weights=w2" in each.log_text() for each in nodes)
                status, body, headers = harness.chat(node.port, prompt, 4, True)
                expected = ("".join(harness.expected_tokens(prompt, 4)), True)
                answers.append((status, body, switched, headers["X-Request-Id"],
                                status == 200 and harness.streamed_text(body) == expected))
                count += 1

        threads = [threading.Thread(target=call, args=(i,)) for i in range(4)]
        for thread in threads:
            thread.start()
        try:
            harness.wait_until(lambda: len(answers) > 20, "answers before the roll")
            self.publish_weights(nodes[0], "w2")
            self.wait_for_weights("w2")
            after = len(answers)
            harness.wait_until(lambda: len(answers) > after + 40, "answers after the roll")
        finally:
            stop.set()
            for thread in threads:
                thread.join()
        self.assertEqual([answer[:2] for answer in answers if not answer[4]], [])
        weights_of = {run["request"]: run["weights"] for port in self.ports for run in harness.runs(port)}
        after_switch = {weights_of[request] for _, _, switched, request, _ in answers if switched}
        self.assertEqual(after_switch, {"w2"})

    # The platform takes a host out of service and says so in its list. What is sent there after a
    # few seconds is cut when the host stops.
    def test_a_leaving_backend_server_gets_no_new_work(self):
        [node] = self.start(1)
        self.platform.hosts([{"endpoint": f"127.0.0.1:{self.ports[0]}", "kind": "backend", "state": "leaving"},
                             {"endpoint": f"127.0.0.1:{self.ports[1]}", "kind": "backend", "state": "live"}])
        harness.wait_until(lambda: "event=engine_leaving engine=copy-1" in node.log_text(), "the news is read")
        before = len(harness.runs(self.ports[0]))
        for i in range(30):
            status, body, _ = harness.chat(node.port, f"prompt {i}", 2, False)
            self.assertEqual(status, 200, body)
        self.assertEqual(len(harness.runs(self.ports[0])), before)
        self.assertNotIn("event=engine_leaving engine=copy-2", node.log_text())

    # A node is paused for a while, as a virtual machine is when it is moved. Meanwhile the others
    # roll out a new bundle. When it wakes it must not bring the old weights back.
    def test_a_paused_node_that_wakes_brings_no_old_weights_back(self):
        nodes = self.start(2)
        nodes[0].popen.send_signal(signal.SIGSTOP)
        try:
            self.publish_weights(nodes[1], "w2")
            self.wait_for_weights("w2")
        finally:
            nodes[0].popen.send_signal(signal.SIGCONT)
        harness.wait_until(lambda: "event=bundle_in_force version=2" in nodes[0].log_text(), "the node has caught up")
        for port in self.ports:
            fencing = [order["fencing"] for order in orders(port)]
            self.assertEqual(fencing, sorted(fencing))
            self.assertEqual(held(port), ["w2"])

    # The paused node had an order half sent. An engine that checks fencing numbers refuses it; one
    # that does not takes it, and callers would get older weights from then on.
    def test_an_order_from_before_the_pause_is_refused_or_set_right(self):
        for options, status_expected in [((), 409), (("--no-fencing",), 200)]:
            with self.subTest(options=options):
                cluster = self.cluster = harness.Cluster(self.build)
                self.addCleanup(cluster.close)
                cluster.platform()
                nodes = self.start(1, *options)
                self.publish_weights(nodes[0], "w2")
                self.wait_for_weights("w2")
                ordered = len(orders(self.ports[0]))
                stale = {"fencing": 0, "sequence": 1, "models": [{"id": "copy", "weights": "w1", "adapters": []}],
                         "role": "serving"}
                status, _, _ = harness.http_call(self.ports[0], "POST", "/v1/orders", json.dumps(stale))
                self.assertEqual(status, status_expected)
                if status == 200:
                    harness.wait_until(lambda ordered=ordered: len(orders(self.ports[0])) > ordered + 1,
                                       "the engine is ordered again")
                self.wait_for_weights("w2")


if __name__ == "__main__":
    harness.main()
