"""Callers whose bodies come together at one node: nodes as real processes, engines and store of the stand-in."""

import os
import socket
import threading
import time

import harness
import platform_fleet

BODY_BYTES = 4 << 20  # limits.maxBodyBytes
CALLERS = 32
ROUTE_MS = 8000  # a body waits for half of it
KEYS_VALID_MS = 5000  # the store runs beside the callers, in one process
MOST_MEMORY_MB = 80  # 48 for buffers, 12 for what waits, and what an idle node holds
SMALL_SECONDS = 1.0  # in which small requests are served beside them


class Memory(threading.Thread):
    """Samples the memory of a process."""

    def __init__(self, process):
        super().__init__(daemon=True)
        self.path, self.most_mb, self.over = f"/proc/{process.popen.pid}/statm", 0.0, threading.Event()

    def run(self):
        while not self.over.wait(0.002):
            with open(self.path, encoding="ascii") as file:
                self.most_mb = max(self.most_mb, int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20)


class PlatformBodies(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.fleet.config["limits"]["maxBodyBytes"] = BODY_BYTES
        for route in self.fleet.config["routes"]:
            route["timeoutMs"] = ROUTE_MS
        self.fleet.publish()
        self.engines = [self.fleet.engine(f"app-{i}", service="app") for i in range(3)]
        self.fleet.engine("llm-0")
        self.node = self.fleet.node("n0", keys_valid_ms=KEYS_VALID_MS)
        self.fleet.wait_ready(self.node)
        for engine in self.engines:
            engine.seconds = 0.2
        self.memory = Memory(self.node)
        self.memory.start()
        self.addCleanup(self.memory.over.set)

    def begin(self, identity, framing):
        connection = socket.create_connection(("127.0.0.1", self.node.port), timeout=10)
        self.addCleanup(connection.close)
        connection.sendall((f"POST /call/x HTTP/1.1\r\nHost: h.example\r\nX-Vanilladyke-Attempt-Id: {identity}\r\n"
                            f"X-Vanilladyke-Deadline-Ms: {ROUTE_MS}\r\nAuthorization: Token brand-key\r\n"
                            f"{framing}\r\n\r\n").encode())
        return connection

    @staticmethod
    def answer(connection):
        """@return the status and the head; 0 if the connection ended without an answer"""
        received = b""
        try:
            while b"\r\n\r\n" not in received:
                more = connection.recv(65536)
                if not more:
                    return 0, ""
                received += more
        except OSError:
            return 0, ""
        return int(received.split()[1]), received.decode()

    def send_whole(self, identity, is_chunked):
        try:
            if is_chunked:
                connection = self.begin(identity, "Transfer-Encoding: chunked")
                for _ in range(BODY_BYTES // 65536):
                    connection.sendall(b"10000\r\n" + b"b" * 65536 + b"\r\n")
                connection.sendall(b"0\r\n\r\n")
            else:
                connection = self.begin(identity, f"Content-Length: {BODY_BYTES}")
                connection.sendall(b"b" * BODY_BYTES)
        except OSError:
            return 0, ""
        return self.answer(connection)

    def send_together(self, is_chunked):
        results = {}

        def send(identity):
            results[identity] = self.send_whole(identity, is_chunked)[0]

        callers = [threading.Thread(target=send, args=(f"large-{i}",)) for i in range(CALLERS)]
        for each in callers:
            each.start()
        lasted = []
        while any(each.is_alive() for each in callers):
            began = time.monotonic()
            status, body, _ = self.fleet.ask(self.node, "/call/x", f"small-{len(lasted)}")
            self.assertEqual(status, 200, body)
            lasted.append(time.monotonic() - began)
        self.assertIsNone(self.node.popen.poll(), "the node runs")
        self.assertLessEqual(self.memory.most_mb, MOST_MEMORY_MB)
        self.assertLessEqual(max(lasted), SMALL_SECONDS, "small bodies don't wait behind large ones")
        self.assertEqual(set(results.values()), {200}, results)

    def test_large_bodies_that_come_together_fit_into_memory(self):
        """Each body is within the limit and all of them are not: the platform ends the process, and all its
        requests are lost."""
        self.send_together(is_chunked=False)

    def test_large_bodies_in_chunks_that_come_together_fit_into_memory(self):
        """The size is not known before the end."""
        self.send_together(is_chunked=True)

    def test_a_body_without_room_is_refused_before_it_is_read(self):
        """Bodies that stop coming hold the room of others. These are told so in time, with their bodies unread, and
        requests with small ones are served."""
        for i in range(8):
            self.begin(f"stuck-{i}", f"Content-Length: {BODY_BYTES}").sendall(b"b" * 100_000)
        time.sleep(0.5)
        began = time.monotonic()
        status, head = self.send_whole("late", is_chunked=False)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After: ", head)
        self.assertIn("Connection: close", head)
        self.assertLess(time.monotonic() - began, ROUTE_MS / 2000 + 1, "half of the route's timeout, and a second")
        self.assertEqual(self.fleet.ask(self.node, "/call/x", "small")[0], 200)
        self.assertEqual(self.fleet.arrivals("late"), [])
        self.assertIn("event=body_rejected id=late ", self.node.log_text())


if __name__ == "__main__":
    harness.main()
