"""A stream reaches its caller whole and in order, whatever happens on the way."""

import json
import signal

import harness

PROMPT = "eruption bulletin"


class Streams(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.cluster.bundle["limits"] = {"stream_silence_ms": 400}

    def start(self, engines=2, nodes=1, options=("--step-ms", "10")):
        for i in range(engines):
            self.cluster.engine(f"copy-{i}", *options)
        self.ports = list(self.cluster.engines.values())
        self.nodes = [self.cluster.node(f"n{i}") for i in range(nodes)]

    def busy_engine(self):
        """The port of the engine that runs something, once there is one."""
        def running():
            return [port for port in self.ports
                    if any(run["state"] == "running" and run["tokens"] > 2 for run in harness.runs(port))]
        harness.wait_until(running, "an engine runs the stream")
        return running()[0]

    def open(self, tokens=60, headers=None, node=0):
        return harness.open_stream(self.nodes[node].port, PROMPT, tokens, headers=headers)

    def assert_whole(self, connection, tokens=60):
        response = connection.getresponse()
        body = response.read().decode()
        connection.close()
        self.assertEqual(response.status, 200, body)
        self.assertEqual(harness.streamed_text(body), ("".join(harness.expected_tokens(PROMPT, tokens)), True))

    def log(self):
        return self.nodes[0].log_text()

    def test_an_engine_crashes_in_the_middle(self):
        """An engine crashes and comes back empty. The caller would see its answer stop in the
        middle of a sentence; instead another engine goes on from what the caller has."""
        self.start()
        connection = self.open()
        harness.faults(self.busy_engine(), crash=True)
        self.assert_whole(connection)
        self.assertIn("next=elsewhere", self.log())

    def test_the_only_engine_crashes_and_comes_back(self):
        """The only engine of a model crashes and is away for a while. The caller waits, sees
        heartbeats, and gets the rest when the engine is back."""
        self.start(engines=1)
        connection = self.open()
        harness.faults(self.busy_engine(), crash=True, down_ms=1000)
        self.assert_whole(connection)

    def test_a_connection_is_cut_at_a_token(self):
        """The connection to the engine is reset while the engine goes on. The answer must go on
        where it stopped, and the engine must not make the same tokens twice."""
        self.start()
        for port in self.ports:
            harness.faults(port, cut_at=7)
        self.assert_whole(self.open())
        self.assertEqual(sum(len(harness.runs(port)) for port in self.ports), 1)
        self.assertIn("next=resume", self.log())

    def test_an_engine_freezes(self):
        """An engine stops without closing anything, so that the connection is silent for good.
        The caller would wait for ever; the node takes the silence for an end."""
        self.start()
        connection = self.open()
        harness.faults(self.busy_engine(), freeze_ms=-1)
        self.assert_whole(connection)
        self.assertIn("error=silent", self.log())

    def test_a_crossed_answer_never_reaches_the_caller(self):
        """A connection gives the answer of the exchange before. A caller would read the answer to
        somebody else's prompt."""
        self.start(engines=1)
        self.assertEqual(harness.chat(self.nodes[0].port, "another prompt", 30, True)[0], 200)
        harness.faults(self.ports[0], cross=1)
        self.assert_whole(self.open())
        self.assertIn("error=mismatch", self.log())

    def test_stray_frames_never_reach_the_caller(self):
        """Frames of the exchange before stand among the right ones. A caller would read words of
        somebody else's answer in the middle of its own."""
        self.start(engines=1)
        self.assertEqual(harness.chat(self.nodes[0].port, "another prompt", 30, True)[0], 200)
        connection = self.open()
        self.busy_engine()
        other = harness.open_stream(self.ports[0], "another prompt", 30, headers={
            "X-Stream-Id": "other", "X-Attempt-Id": "other-attempt", "X-Request-Id": "other"})
        other.getresponse().read(1)
        harness.faults(self.ports[0], stray=3)
        self.assert_whole(connection)
        other.close()
        self.assertIn("event=frame_discarded", self.log())

    def test_a_caller_that_leaves_cancels_at_the_engine(self):
        """A caller closes its connection in the middle of a long answer. Nobody notices but the
        engine, which would go on for minutes and keep the slot from others."""
        self.start()
        connection = self.open(tokens=100_000)
        port = self.busy_engine()
        connection.close()
        harness.wait_until(lambda: [run["state"] for run in harness.runs(port)] == ["cancelled"], "cancelled")

    def read_events(self, response, count):
        """The first event ids and texts of a stream that goes on."""
        last, text = "", ""
        while count > 0:
            line = response.readline().decode().strip()
            if line.startswith("id: "):
                last = line[4:]
            elif line.startswith("data: "):
                text += json.loads(line[6:])["choices"][0]["delta"]["content"]
                count -= 1
        return last, text

    def test_another_node_takes_the_last_event_id(self):
        """The node dies in the middle of a stream. The caller comes back to another node with the
        last event id that it has, and must get exactly the rest."""
        self.start(nodes=2)
        connection = self.open()
        last, text = self.read_events(connection.getresponse(), 9)
        self.nodes[0].popen.kill()
        connection.close()
        connection = self.open(headers={"Last-Event-ID": last}, node=1)
        body = connection.getresponse().read().decode()
        rest, ended = harness.streamed_text(body)
        self.assertEqual(text + rest, "".join(harness.expected_tokens(PROMPT, 60)))
        self.assertTrue(ended)
        self.assertEqual(sum(len(harness.runs(port)) for port in self.ports), 1)

    def test_a_foreign_last_event_id_is_refused(self):
        """Somebody comes with an event id of another prompt or one that is made up. It must not
        get to read that stream."""
        self.start()
        response = self.open(headers={"Last-Event-ID": "00" * 16 + ".1.0.1.stream.copy-0"}).getresponse()
        self.assertEqual(response.status, 400)
        self.assertEqual(json.loads(response.read())["error"]["ran"], "no")

    def test_a_stop_finishes_streams_and_a_second_signal_ends_them_truthfully(self):
        """An operator stops a node while a long answer runs, and loses patience. The first signal must
        not cut the stream; after the second its caller must hear that the answer is not whole."""
        self.start()
        response = self.open(tokens=100_000).getresponse()
        node = self.nodes[0]
        node.popen.send_signal(signal.SIGTERM)
        harness.wait_until(lambda: harness.http_call(node.port, "GET", "/readyz")[0] == 503, "not ready")
        self.read_events(response, 60)
        node.popen.send_signal(signal.SIGTERM)
        rest = response.read().decode()
        error = json.loads(rest.split("event: error\ndata: ")[1].splitlines()[0])["error"]
        self.assertEqual((error["reason"], error["ran"]), ("shutting_down", "unknown"))
        self.assertEqual(node.popen.wait(harness.WAIT_SECONDS), 0)

    def test_an_answer_that_cant_be_finished_ends_with_an_error(self):
        """The only engine crashes and stays away. The caller must be told that the answer is not
        whole; an end without a word would pass for a whole answer."""
        self.start(engines=1)
        connection = self.open(tokens=100_000)
        harness.faults(self.busy_engine(), crash=True, down_ms=120_000)
        body = connection.getresponse().read().decode()
        self.assertNotIn("[DONE]", body)
        error = json.loads(body.split("event: error\ndata: ")[1].splitlines()[0])["error"]
        self.assertEqual(error["ran"], "unknown")

    def test_a_request_that_ends_engines_is_not_sent_on_and_on(self):
        """A request crashes each engine that begins it, and its caller comes again. The node would take
        one engine after the other for it, and all that runs there."""
        self.start(engines=5)
        for port in self.ports:
            harness.faults(port, crash_under="ends engines", crash_down_ms=3000)
        answers = []
        for _ in range(3):
            response = harness.open_stream(self.nodes[0].port, "this ends engines", 20).getresponse()
            answers.append(response.read().decode())
        lost = [run for port in self.ports for run in self.runs_once_up(port) if run["state"] == "lost"]
        self.assertLessEqual(len(lost), 2, answers)
        error = json.loads(answers[-1])["error"]
        self.assertEqual((error["reason"], error["ran"]), ("ends_engines", "no"))
        self.assert_whole(self.open(tokens=20), tokens=20)

    @staticmethod
    def runs_once_up(port):
        harness.wait_until(lambda: harness.http_call(port, "GET", "/control/log")[0] == 200, "the engine is back")
        return harness.runs(port)


if __name__ == "__main__":
    harness.main()
