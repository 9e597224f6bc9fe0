"""Many servers on many connections at once, whose bytes never end: what a node holds of them, and what others get."""

import random
import threading
import time

import harness
import platform_bodies
import platform_endless
import platform_fleet

KEYS_VALID_MS = 5000
SERVERS = 6
CALLERS = 150  # at once, of requests that meet these servers
SOUND_CALLERS = 4  # whose requests go to sound servers
MEMORY_MB = 110  # that the smallest deployment gives a process, which it ends beyond that
SERVED = 0.9  # of the sound callers' requests, as without the others
PIECE = b"x" * 16000
CHUNK = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
STRAY = "HTTP/1.1 200 OK\r\nX-Vanilladyke-Attempt-Id: another\r\nX-Vanilladyke-Response-Stamp: s\r\n{framing}\r\n"
OWN = "HTTP/1.1 {status} OK\r\nX-Vanilladyke-Attempt-Id: {id}\r\nX-Vanilladyke-Response-Stamp: s\r\n{framing}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"


class PlatformEndlessTogether(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.fleet.config["services"] += [{"name": each, "healthPath": "/health", "maxConnections": 300}
                                          for each in ("bad-app", "bad-llm")]
        self.fleet.config["routes"] += [
            platform_fleet.route("bad-call", "unsafe", "bad-app"), platform_fleet.route("bad-fetch", "safe", "bad-app"),
            platform_fleet.route("bad-stream", "stream", "bad-llm", sticky=True, resumable=True, gapAimMs=250)]
        self.fleet.publish()
        for i in range(2):
            self.fleet.engine(f"app-{i}", service="app")
        self.fleet.engine("llm-0")
        self.node = self.fleet.node("n0", keys_valid_ms=KEYS_VALID_MS, memory_mb=MEMORY_MB)
        self.fleet.wait_ready(self.node)

    def ask(self, path, identity):
        headers = self.fleet.prompt(f"{random.getrandbits(32):08x}") if "stream" in path else None
        try:
            return self.fleet.ask(self.node, path, identity, headers=headers)[0]
        except (OSError, harness.http.client.HTTPException):
            return 0

    def ask_sound(self, over, statuses):
        while not over.is_set():
            statuses.append(self.ask("/call/x", f"sound-{random.getrandbits(32)}"))
            time.sleep(0.01)

    def play(self, path, service, first, junk, pause=0.0):
        servers = []
        for i in range(SERVERS):
            server = platform_endless.EndlessServer(f"endless-{i}", service, first, junk, pause)
            self.fleet.engines.append(server)
            self.addCleanup(server.close)
            servers.append(server)
        harness.wait_until(lambda: self.fleet.knows_all(self.node), "the node knows the servers")
        memory = platform_bodies.Memory(self.node)
        memory.start()
        self.addCleanup(memory.over.set)
        over, sound = threading.Event(), []
        others = [threading.Thread(target=self.ask_sound, args=(over, sound)) for _ in range(SOUND_CALLERS)]
        callers = [threading.Thread(target=self.ask, args=(path, f"{path[1:-2]}-{i}")) for i in range(CALLERS)]
        for each in [*others, *callers]:
            each.start()
        for each in callers:
            each.join()
        over.set()
        for each in others:
            each.join()
        print(f"{path}: {memory.most_mb:.0f} MB, {len(sound)} sound", flush=True)
        self.assertIsNone(self.node.popen.poll(), "the node runs")
        self.assertGreaterEqual(sum(len(each.requests) for each in servers), CALLERS / 3, "the servers were asked")
        self.assertLessEqual(memory.most_mb, MEMORY_MB)
        self.assertGreaterEqual(sum(status == 200 for status in sound) / len(sound), SERVED, sound)

    def test_answers_to_other_requests(self):
        """Their bodies are read in order to throw them away, and were kept meanwhile."""
        self.play("/bad-call/x", "bad-app", STRAY.replace("{framing}", CHUNKED), CHUNK)

    def test_bodies_in_chunks(self):
        self.play("/bad-call/x", "bad-app", OWN.replace("{status}", "200").replace("{framing}", CHUNKED), CHUNK)

    def test_bodies_of_failures_without_a_length(self):
        """A failure is kept while another server is asked, and so is the next one."""
        self.play("/bad-fetch/x", "bad-app", OWN.replace("{status}", "500").replace("{framing}", ""), PIECE)

    def test_first_events(self):
        """An event that does not end is kept until it is whole."""
        self.play("/bad-stream/x", "bad-llm", OWN.replace("{status}", "200").replace("{framing}", CHUNKED), CHUNK)

    def test_later_events(self):
        """The first event is passed on, the second does not end."""
        self.play("/bad-stream/x", "bad-llm", OWN.replace("{status}", "200").replace("{framing}", CHUNKED)
                  + "11\r\nid: 1\ndata: one\n\n\r\n", CHUNK)

    def test_events_that_stop_short_of_their_limit(self):
        """No event reaches the limit of one; together they would fill the memory."""
        self.play("/bad-stream/x", "bad-llm", OWN.replace("{status}", "200").replace("{framing}", CHUNKED)
                  + (CHUNK * 56).decode(), b"1\r\nx\r\n", pause=0.2)


if __name__ == "__main__":
    harness.main()
