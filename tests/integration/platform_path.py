"""A node on the users' platform: real processes against stand-ins of its store and engines."""

import json
import signal
import threading
import time

import harness
import platform_fleet


class PlatformPath(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.app = self.fleet.engine("app-1", service="app")
        self.llm = [self.fleet.engine(f"llm-{i}") for i in (1, 2)]

    def test_requests_reach_their_service_with_the_systems_headers(self):
        node = self.fleet.ready_node("n1")
        status, body, headers = self.fleet.ask(node, "/call/x?y=1", "a1")
        self.assertEqual((status, body), (200, "a1:5"))
        self.assertEqual(headers["X-Vanilladyke-Response-Stamp"], "stamp-a1")
        seen = self.app.requests[0][1]
        self.assertEqual(seen["X-Vanilladyke-Tenant"], "brand")
        self.assertEqual(seen["X-Vanilladyke-Expect-Instance"], "app-1")
        self.assertNotIn("Authorization", seen)
        self.assertLessEqual(int(seen["X-Vanilladyke-Deadline-Ms"]), 4000)
        forged = {"X-Vanilladyke-Tenant": "other", "X-Vanilladyke-Hold": "h", "Kv-From": "x",
                  "X-Vanilladyke-Cache-Salt": "mine", **self.fleet.prompt()}
        status, body, _ = self.fleet.ask(node, "/stream/x", "a2", headers=forged)
        self.assertEqual(status, 200)
        self.assertEqual(body.count("data: a2."), 5)
        salts = {}
        for key in ("brand-key", "walled-key"):
            self.fleet.ask(node, "/stream/x", key, key=key, headers=self.fleet.prompt())
            seen = [fields for engine in self.llm for _, fields in engine.requests
                    if fields["X-Vanilladyke-Attempt-Id"] == key][0]
            salts[key] = seen["X-Vanilladyke-Cache-Salt"]
            self.assertEqual(seen["X-Vanilladyke-Expect-Version"], "1")
            self.assertNotIn("X-Vanilladyke-Hold", seen)
            self.assertNotIn("Kv-From", seen)
        self.assertNotEqual(salts["brand-key"], salts["walled-key"])
        self.assertEqual(self.fleet.ask(node, "/none/x", "a3")[0], 404)
        self.assertEqual(self.fleet.ask(node, "/call/x", "a4", key="none")[0], 401)
        metrics = harness.http_call(node.metrics_port, "GET", "/metrics")[1]
        self.assertIn('requests_total{outcome="answered"}', metrics)

    def test_a_new_configuration_is_in_force_and_stays_when_the_history_is_dropped(self):
        node = self.fleet.ready_node("n1")
        self.fleet.config["routes"].append(platform_fleet.route("added", "safe", "app"))
        self.fleet.config["tenants"][0]["apiKeys"].remove("second-key")
        self.fleet.publish()
        harness.wait_until(lambda: self.fleet.ask(node, "/added/x", "b1")[0] == 200, "the new route")
        self.assertEqual(self.fleet.ask(node, "/call/x", "b2", key="second-key")[0], 401)
        # A read that began before the drop and one from behind the log's beginning.
        self.fleet.store.forget("keyed.op")
        self.fleet.store.forget("keyed.servers")
        self.fleet.config["routes"] = [each for each in self.fleet.config["routes"] if each["name"] != "added"]
        self.fleet.publish()
        harness.wait_until(lambda: self.fleet.ask(node, "/added/x", "b3")[0] == 404, "the route is gone")
        self.assertEqual(self.fleet.ask(node, "/call/x", "b4")[0], 200)

    def test_a_long_listing_goes_on_where_the_store_was_busy(self):
        """Three hundred nodes list three thousand servers at the same moment, and the store refuses many
        of the calls. Nodes that begin anew at the first page keep it busy, and none ever serves."""
        for i in range(9):
            self.fleet.store.put("keyed.servers", f"other-{i}", {
                "service": "other", "address": f"127.0.0.1:{harness.free_port()}", "zone": "here",
                "slots": 1, "state": "ready", "sequence": 1})
        self.fleet.store.page_items = 2
        self.fleet.store.busy_pages = 3
        node = self.fleet.ready_node("n1")
        harness.wait_until(lambda: self.fleet.ask(node, "/call/x", "p1")[0] == 200, "it serves")
        self.assertEqual(self.fleet.store.busy_pages, 0)
        self.assertEqual(self.fleet.store.first_pages.count("keyed.servers"), 1)

    def test_damaged_records_change_nothing(self):
        """Somebody writes a record that is no configuration and an entry that names no address. A node
        must go on with what it knows, and say what it left out."""
        node = self.fleet.ready_node("n1")
        self.fleet.store.put("keyed.op", "config", {"version": 99, "routes": [{"host": 7}]})
        self.fleet.store.put("keyed.servers", "app-1", {"service": "app", "address": "nowhere"})
        self.fleet.store.append("keyed.servers", b"\xffbroken")
        harness.wait_until(lambda: "event=bad_configuration" in node.log_text()
                           and "event=bad_backend_entry" in node.log_text(), "both are logged")
        self.assertEqual(self.fleet.ask(node, "/call/x", "c1")[0], 200)

    def test_without_the_store_keys_age_and_public_routes_are_served(self):
        """The store is away for longer than a key's proof counts. A key could be taken away meanwhile, so
        nothing with a key may pass; what needs no key is served all the same."""
        node = self.fleet.ready_node("n1")
        self.fleet.store.down = True
        harness.wait_until(lambda: self.fleet.ask(node, "/call/x", "d1")[0] == 503, "keys are too old")
        status, body, headers = self.fleet.ask(node, "/call/x", "d2")
        self.assertEqual(json.loads(body)["ran"], "no")
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertNotIn("d2", self.app.runs)
        self.assertEqual(self.fleet.ask(node, "/open/x", "d3", key=None)[0], 200)
        self.assertFalse(self.fleet.is_ready(node))
        self.fleet.store.down = False
        harness.wait_until(lambda: self.fleet.ask(node, "/call/x", "d4")[0] == 200, "keys are proved again")

    def test_a_draining_engine_gets_nothing_more(self):
        second = self.fleet.engine("app-2", service="app")
        node = self.fleet.ready_node("n1")
        second.state = "draining"
        harness.wait_until(lambda: "backend=app-2 draining=true" in node.log_text(), "the node knows")
        before = len(second.requests)
        for i in range(20):
            self.assertEqual(self.fleet.ask(node, "/call/x", f"e{i}")[0], 200)
        self.assertEqual(len(second.requests), before)

    def test_a_full_engine_is_left_out_and_refusals_are_true(self):
        node = self.fleet.ready_node("n1")
        self.app.full = True
        status, body, headers = self.fleet.ask(node, "/call/x", "f1")
        self.assertEqual((status, json.loads(body)["ran"]), (503, "no"))
        self.assertIn("Retry-After", headers)
        self.assertNotIn("f1", self.app.runs)

    def orders(self):
        return sorted((at, engine.name, order) for engine in self.llm for at, order in engine.orders)

    def check_orders(self):
        """One holder at a time, and fences that never fall."""
        last = {}
        for at, engine, order in self.orders():
            if engine in last and last[engine][1]["holder"] != order["holder"]:
                self.assertGreaterEqual(at - last[engine][0], 1.0, "two holders within the gap")
                self.assertGreater(order["fence"], last[engine][1]["fence"])
            last[engine] = (at, order)

    def test_new_weights_are_brought_by_one_node_and_salts_change(self):
        nodes = [self.fleet.ready_node(f"n{i}") for i in (1, 2)]

        def seen(identity):
            """What the engine was told that ran a request."""
            harness.wait_until(lambda: self.fleet.ask(nodes[0], "/stream/x", identity, headers=self.fleet.prompt())[0] == 200,
                               "a request runs")
            return [fields for engine in self.llm for _, fields in engine.requests
                    if fields["X-Vanilladyke-Attempt-Id"] == identity][-1]

        before = seen("g0")["X-Vanilladyke-Cache-Salt"]
        self.assertRegex(before, r"^m\.1\./\d+$")  # with the group of the tenants that share
        self.fleet.name_weights(2)
        harness.wait_until(lambda: all(engine.version == 2 for engine in self.llm), "all engines are new")
        self.check_orders()
        self.assertEqual(len({order["holder"] for _, _, order in self.orders()}), 1)
        after = seen("g1")
        self.assertEqual(after["X-Vanilladyke-Expect-Version"], "2")
        self.assertEqual(after["X-Vanilladyke-Cache-Salt"], "m.2" + before.removeprefix("m.1"))

    def test_the_next_node_goes_on_when_the_holder_is_killed(self):
        """The node that gives the orders loses power between two of them. Another one must finish the
        rollout, neither too early, while an order of the first may be on its way, nor never."""
        nodes = [self.fleet.ready_node(f"n{i}") for i in (1, 2)]
        self.llm[0].load_seconds = self.llm[1].load_seconds = 60  # the holder has to wait
        self.fleet.name_weights(2)
        harness.wait_until(lambda: len(self.orders()) >= 1, "the first order")
        holder = self.orders()[0][2]["holder"].split("@")[0]
        [node for node in nodes if node.name == holder][0].stop(signal.SIGKILL)
        for engine in self.llm:
            engine.load_seconds, engine.busy, engine.sequence = 0.2, False, engine.sequence
        harness.wait_until(lambda: all(engine.version == 2 for engine in self.llm), "the other node finishes")
        self.check_orders()

    def test_a_lost_answer_to_the_lease_is_settled(self):
        self.fleet.ready_node("n1")
        self.fleet.store.lose_answers = 1
        self.fleet.name_weights(2)
        harness.wait_until(lambda: all(engine.version == 2 for engine in self.llm), "all engines are new")
        self.check_orders()

    def test_a_planned_stop_cuts_nothing(self):
        node = self.fleet.ready_node("n1")
        self.app.seconds = 1.0
        results = []
        asking = threading.Thread(target=lambda: results.append(self.fleet.ask(node, "/call/x", "h1")[0]))
        asking.start()
        harness.wait_until(lambda: "h1" in self.app.runs, "the request runs")
        node.popen.send_signal(signal.SIGTERM)
        harness.wait_until(lambda: not self.fleet.is_ready(node), "not ready at once")
        self.app.seconds = 0.0
        self.assertEqual(self.fleet.ask(node, "/call/x", "h2")[0], 200, "still served until the balancer knows")
        asking.join()
        self.assertEqual(results, [200])
        self.assertEqual(node.stop(), 0)

    def test_a_hangup_takes_new_settings_over_and_cuts_nothing(self):
        """The platform changes the settings file and says so with SIGHUP, whose default is to end the process:
        every request that the node had taken would be lost."""
        node = self.fleet.ready_node("n1")
        self.app.seconds = 0.5
        results = []
        asking = threading.Thread(target=lambda: results.append(self.fleet.ask(node, "/call/x", "i1")[0]))
        asking.start()
        harness.wait_until(lambda: "i1" in self.app.runs, "the request runs")
        node.popen.send_signal(signal.SIGHUP)
        harness.wait_until(lambda: "event=reload " in node.log_text(), "the settings are read again")
        with open(node.settings, "w", encoding="utf-8") as out:
            out.write("{")
        node.popen.send_signal(signal.SIGHUP)
        harness.wait_until(lambda: "event=reload_failed" in node.log_text(), "bad settings are left out")
        asking.join()
        self.assertEqual(results, [200])
        self.assertEqual(self.fleet.ask(node, "/call/x", "i2")[0], 200)

    def test_settings_are_checked_whole(self):
        path = self.cluster.write("bad.jsonc", {"node": "n", "callers": "nowhere", "surplus": 1})
        process = self.cluster.start("check", [f"{self.build}/vanilladyke", "node", "--check", "--settings", path])
        self.assertEqual(process.popen.wait(10), 1)
        text = process.log_text()
        for field in ("callers", "surplus", "store", "data_centre"):
            self.assertIn(field, text)


if __name__ == "__main__":
    harness.main()
