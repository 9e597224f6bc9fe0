"""Requests that come at each tenth of the grace of a planned stop, and what lasts to its end: nodes as real processes."""

import http.client
import signal
import threading
import time

import harness
import platform_fleet

GRACE = 8.0  # in the settings of nodes
LONG = 30.0  # seconds that a request runs, more than the grace
KEYS_VALID_MS = 20000


class PlatformLateInGrace(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        for each in self.fleet.config["routes"]:
            each.update(timeoutMs=60000, maxAttempts=1)
        self.fleet.config["routes"].append(platform_fleet.route("quick", "unsafe", "quick"))
        self.fleet.config["services"].append({"name": "quick", "healthPath": "/health", "maxConnections": 100})
        self.fleet.publish()
        self.engines = [self.fleet.engine("app-0", service="app"), self.fleet.engine("quick-0", service="quick"),
                        self.fleet.engine("llm-0")]
        self.node = self.fleet.node("n0", keys_valid_ms=KEYS_VALID_MS)
        self.fleet.wait_ready(self.node)
        self.results = {}  # by id: the status, or why there is none

    def fields(self, identity):
        return {"Host": "h.example", "X-Vanilladyke-Attempt-Id": identity, "X-Vanilladyke-Deadline-Ms": "60000",
                "Authorization": "Token brand-key"}

    def connect(self):
        connection = http.client.HTTPConnection("127.0.0.1", self.node.port, timeout=30)
        connection.connect()
        self.addCleanup(connection.close)
        return connection

    def ask(self, connection, path, identity):
        try:
            connection.request("POST", path, "hello", self.fields(identity))
            answer = connection.getresponse()
            answer.read()
            self.results[identity] = answer.status
        except (OSError, http.client.HTTPException) as error:
            self.results[identity] = repr(error)

    def start_asking(self, connection, path, identity):
        caller = threading.Thread(target=self.ask, args=(connection, path, identity), daemon=True)
        caller.start()
        return caller

    def ran(self, identity):
        return any(fields["X-Vanilladyke-Attempt-Id"] == identity
                   for engine in self.engines for _, fields in list(engine.requests))

    def stop_with(self, path):
        """Sends a request on a kept connection and on a new one at each tenth of the grace."""
        kept = {tenth: self.connect() for tenth in range(10)}
        for tenth, connection in kept.items():
            self.ask(connection, "/quick/x", f"first-{tenth}")
        began = time.monotonic()
        self.node.popen.send_signal(signal.SIGTERM)
        callers = []
        for tenth, connection in kept.items():
            time.sleep(max(0, began + tenth * GRACE / 10 - time.monotonic()))
            callers.append(self.start_asking(connection, path, f"kept-{tenth}"))
            try:
                callers.append(self.start_asking(self.connect(), path, f"new-{tenth}"))
            except OSError as error:
                self.results[f"new-{tenth}"] = repr(error)
        for each in callers:
            each.join()
        self.assertEqual(self.node.popen.wait(harness.WAIT_SECONDS), 0)
        self.assertLess(time.monotonic() - began, GRACE)
        for identity, result in self.results.items():
            if self.ran(identity):
                self.assertIn(result, (200, 502, 504), f"{identity} was passed on: {self.results}")
            elif isinstance(result, int):
                self.assertEqual(result, 503, identity)

    def test_short_requests_beside_one_that_lasts_to_the_end(self):
        """The node waits for the long request; others that come meanwhile are answered or not passed on."""
        self.engines[0].seconds = LONG
        long = self.start_asking(self.connect(), "/call/x", "long")
        harness.wait_until(lambda: self.ran("long"), "it runs")
        self.stop_with("/quick/x")
        long.join()
        self.assertIn(self.results["long"], (502, 504), "nothing is known of its run")

    def test_requests_that_last_beyond_the_grace(self):
        """A call that may not be repeated is taken in the grace and runs beyond it. Cut without a word at the end, its
        caller can't tell it from one that was never read."""
        self.engines[0].seconds = LONG
        self.stop_with("/call/x")
        self.assertTrue(self.ran("kept-0"))

    def test_repeatable_requests_that_last_beyond_the_grace(self):
        self.engines[0].seconds = LONG
        self.stop_with("/fetch/x")


if __name__ == "__main__":
    harness.main()
