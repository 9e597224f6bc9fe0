"""Whatever bytes come in, a node answers or refuses with a reason, and goes on."""

import json
import random
import select
import socket

import harness

SEED = 20261202
BURST = 100  # below the smallest limit on a backlog that a kernel has by default, 128


class Edges(harness.ClusterTest):
    def setUp(self):
        super().setUp()
        self.cluster.bundle["limits"] = {"body_bytes": 100_000}
        self.cluster.engine("copy-1")
        self.node = self.cluster.node("n1")

    def send_raw(self, data):
        """What the node answers to raw bytes; empty if it only closes."""
        with socket.create_connection(("127.0.0.1", self.node.port), timeout=harness.WAIT_SECONDS) as link:
            link.sendall(data)
            link.shutdown(socket.SHUT_WR)
            answer = b""
            try:
                while chunk := link.recv(65536):
                    answer += chunk
            except ConnectionResetError:
                pass
            return answer

    def refuse(self, body, status, reason, headers=None, path="/v1/chat/completions"):
        got, answer, _ = harness.http_call(self.node.port, "POST", path, body,
                                           {"Authorization": "Bearer brand-key", **(headers or {})})
        error = json.loads(answer)["error"]
        self.assertEqual((got, error["reason"], error["ran"]), (status, reason, "no"), answer)
        self.assertTrue(error["message"] and error["request_id"])

    def assert_serves(self):
        status, body, _ = harness.chat(self.node.port, "still here", 5, True)
        self.assertEqual(status, 200, body)
        self.assertEqual(harness.streamed_text(body), ("".join(harness.expected_tokens("still here", 5)), True))

    def test_random_bytes_neither_crash_nor_hang_a_node(self):
        """Something that is no HTTP client connects, such as a port scanner. A node that crashed on
        it would take every stream with it."""
        chance = random.Random(SEED)
        starts = [b"", b"POST /v1/chat/completions HTTP/1.1\r\n", b"GET ", b"\x16\x03\x01",
                  b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n",
                  b"POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffff\r\n"]
        for _ in range(60):
            self.send_raw(chance.choice(starts) + chance.randbytes(chance.choice([0, 1, 30, 3000])))
        self.assert_serves()

    def test_bad_requests_say_why(self):
        """Clients with faults send what is no request. Each hears the reason and that nothing ran."""
        self.refuse("{", 400, "bad_request")
        self.refuse("", 400, "bad_request")
        self.refuse(b"\xff\xfe{}", 400, "bad_request")
        self.refuse("[" * 50_000, 400, "bad_request")
        self.refuse(json.dumps({"model": "copy"}), 400, "bad_request")
        self.refuse(json.dumps({"model": "copy", "prompt": 5}), 400, "bad_request", path="/v1/completions")
        good = json.dumps({"model": "copy", "messages": [{"role": "user", "content": "x"}]})
        self.refuse(good, 400, "bad_request", {"X-Request-Deadline": "tomorrow"})
        self.refuse(good, 404, "bad_request", path="/v1/nothing")
        self.assert_serves()

    def test_too_large_is_refused(self):
        """A caller sends a prompt beyond the limit; without one a few of them would fill the memory."""
        text = json.dumps({"model": "copy", "messages": [{"role": "user", "content": "x" * 200_000}]})
        self.refuse(text, 413, "too_large")
        status = harness.http_call(self.node.port, "GET", "/readyz", headers={"X-Long": "x" * 50_000})[0]
        self.assertEqual(status, 400)
        self.assert_serves()

    def test_long_prompts_reach_the_engine_whole(self):
        """A prompt of many runs has a chain longer than one header line may be; engines refuse such
        a line, so that only the longest prompts would fail."""
        prompt = "brand guide " * 8000
        status, body, _ = harness.chat(self.node.port, prompt, 5, False)
        self.assertEqual(status, 200, body)
        answer = json.loads(body)
        self.assertEqual(answer["choices"][0]["message"]["content"], "".join(harness.expected_tokens(prompt, 5)))
        self.assertEqual(answer["object"], "chat.completion")
        self.assertEqual(answer["usage"]["completion_tokens"], 5)
        self.assertGreater(answer["usage"]["prompt_tokens"], 20_000)

    def connect_while_held_up(self, count):
        """Callers whose connections are open although the node runs no instruction."""
        callers = []
        for _ in range(count):
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.setblocking(False)
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            caller.connect_ex(("127.0.0.1", self.node.port))
            callers.append(caller)

        def connected():
            writable = select.select([], callers, [], 0)[1]
            return len(writable) == count and not any(
                caller.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) for caller in callers)

        harness.wait_until(connected, f"{count} callers connected")
        return callers

    def test_a_burst_of_callers_waits_while_a_node_is_held_up(self):
        """Many callers connect at once while a node gets no processor. Where the kernel's queue of
        connections is full, some wait for a second, and others are reset: with SYN cookies the kernel
        has no state of a connection whose first segments found the queue full, and it resets the
        connection at the next segment. So head and body are sent apart, as HTTP clients send them."""
        body = json.dumps({"model": "copy", "stream": True, "max_tokens": 5,
                           "messages": [{"role": "user", "content": "all at once"}]}).encode()
        head = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer brand-key\r\n"
                f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        self.node.hold_up()
        callers = self.connect_while_held_up(BURST)
        for part in (head, body):
            for caller in callers:
                caller.sendall(part)
        self.node.go_on()
        for caller in callers:
            caller.settimeout(harness.WAIT_SECONDS)
            response = harness.http.client.HTTPResponse(caller)
            response.begin()
            answer = response.read().decode()
            self.assertEqual(response.status, 200, answer)
            self.assertEqual(harness.streamed_text(answer),
                             ("".join(harness.expected_tokens("all at once", 5)), True))


if __name__ == "__main__":
    harness.main()
