"""Streams while engines of two software versions serve side by side: nodes as real processes, engines of the
stand-in. What two versions write does not fit together, and engines do not check it."""

import signal
import threading
import time

import harness
import platform_fleet

STREAMS = 60
VERSIONS = ("v1", "v1.1")


class PlatformVersions(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        self.engines = []
        for i in range(4):
            self.engines.append(self.fleet.engine(f"llm-{i}", VERSIONS[i % 2]))
        self.nodes = [self.fleet.node(f"n{i}", keys_valid_ms=5000) for i in range(3)]
        for node in self.nodes:
            self.fleet.wait_ready(node)
        for node in self.nodes:
            harness.wait_until(lambda n=node: self.hears_others(n), "nodes hear each other")
        self.lock, self.went_on, self.taken_up, self.others = threading.Lock(), 0, 0, []

    def hears_others(self, node):
        """Whether both other nodes answer when a caller names an attempt that was never made."""
        self.fleet.read_stream(node, "probe", {"X-Vanilladyke-Resumes": "none", "Last-Event-Id": "1"})
        return "answers=2" in node.log_text() or "event=stream_taken_up" not in node.log_text()

    def in_parallel(self, task, count=STREAMS, at_once=6):
        """Runs the task with the numbers from 0, a few at a time."""
        for first in range(0, count, at_once):
            threads = [threading.Thread(target=task, args=(i,)) for i in range(first, min(first + at_once, count))]
            for each in threads:
                each.start()
            for each in threads:
                each.join()

    def engine_of(self, identity):
        """The engine that wrote the attempt's first event."""
        return next(engine for engine in self.fleet.engines if (identity, 1) in engine.wrote)

    def begin(self, node, identity, events):
        """Begins a stream; a node that was just refused by some engines may refuse it at first, too.
        @return the attempt that began it, the events' lines of data"""
        begun = []

        def has_begun():
            attempt = f"{identity}-{len(begun)}"
            begun.append((attempt, self.fleet.begin_stream(node, attempt, events)))
            return begun[-1][1]

        harness.wait_until(has_begun, "a stream begins")
        return begun[-1]

    def take_up(self, node, identity, began, first, headers=None):
        """Takes a stream up after the events that the caller has. @return the read, all events together"""
        last = began[-1].split(" ")[0].rsplit(".", 1)[1]
        named = {"X-Vanilladyke-Resumes": first, "Last-Event-Id": last} if headers is None else headers
        read = self.fleet.read_stream(node, identity, {**named, "Last-Event-Id": last})
        with self.lock:
            self.taken_up += 1
            goes_on = read.status == 200 and read.whole
            self.went_on += goes_on
            self.others.extend([] if goes_on else [(identity, read.status, read.text[:80])])
        read.data = began + read.data
        return read

    def assert_goes_on(self):
        """At least half of the streams that are taken up go on: new ones all begin here."""
        self.assertGreaterEqual(2 * self.went_on, self.taken_up, self.others)

    def test_a_stream_goes_on_at_its_version_within_one_answer(self):
        """Each engine breaks streams off after two events. The node sends them on; at an engine of another version
        the caller would get the halves of two different texts."""
        reads = []

        def ask(i):
            engine = self.engines[i % 4]
            engine.cuts = 1
            reads.append(self.fleet.read_stream(self.nodes[i % 3], f"cut-{i}"))

        self.in_parallel(ask, at_once=1)
        self.assertGreater(sum(len(self.runs_of(f"cut-{i}")) > 1 for i in range(STREAMS)), 5, "nothing was cut")
        self.assertEqual([read.data for read in reads if len(read.software()) > 1], [])
        self.assertGreaterEqual(2 * sum(read.whole for read in reads), STREAMS)

    def runs_of(self, identity):
        return [engine for engine in self.fleet.engines for each in engine.runs if each == identity]

    def test_a_taken_up_stream_goes_on_at_its_version(self):
        """A caller takes its stream up at another node while the engine that began it has no room. A node that
        does not know the version would choose any engine that is free."""
        mixed = []

        def ask(i):
            first, began = self.begin(self.nodes[i % 3], f"first-{i}", 2)
            engine = self.engine_of(first)
            engine.full = True
            read = self.take_up(self.nodes[(i + 1) % 3], f"second-{i}", began, first)
            engine.full = False
            mixed.extend([read.data] if len(read.software()) > 1 else [])

        self.in_parallel(ask, at_once=1)
        self.assertEqual(mixed, [])
        self.assert_goes_on()

    def test_a_stream_whose_node_died_goes_on_at_its_version(self):
        """The node that passed the first event on is killed in the middle of its streams: what only it knew of
        them is gone, and their callers come to the other nodes at once."""
        for engine in self.engines:
            engine.pace = 0.3
        mixed, began, lock = [], {}, threading.Lock()

        def begin(i):
            data = self.fleet.begin_stream(self.nodes[0], f"first-{i}", 3)  # broken off by the kill
            with lock:
                began[i] = data

        threads = [threading.Thread(target=begin, args=(i,)) for i in range(16)]
        for each in threads:
            each.start()
        harness.wait_until(lambda: sum(len(engine.wrote) for engine in self.engines) >= 16, "all have begun")
        time.sleep(0.1)
        self.nodes[0].popen.send_signal(signal.SIGKILL)
        for each in threads:
            each.join()

        def take_up(i):
            if began[i]:
                read = self.take_up(self.nodes[1 + i % 2], f"second-{i}", began[i], f"first-{i}")
                mixed.extend([read.data] if len(read.software()) > 1 else [])

        self.in_parallel(take_up, 16)
        self.assertGreater(self.taken_up, 8)
        self.assertEqual(mixed, [])
        self.assert_goes_on()

    def test_a_stream_without_a_server_of_its_version_is_refused_at_once(self):
        """All engines of the version that began the stream are gone. A caller that waits for them in vain loses
        the time in which it could begin anew; one that gets another version's text is served worse still."""
        began = self.fleet.begin_stream(self.nodes[0], "first", 2)
        version = self.engine_of("first").software
        for engine in self.engines:
            if engine.software == version:
                self.fleet.end_for_good(engine)
        for node in self.nodes:
            harness.wait_until(lambda n=node: n.log_text().count("event=backend_gone") >= 2, "they are gone")
        since = time.monotonic()
        read = self.take_up(self.nodes[1], "second", began, "first")
        self.assertEqual(read.status, 503, read.data)
        self.assertLess(time.monotonic() - since, 1.0)
        self.assertIn('"ran":"no"', read.text)
        self.assertEqual(self.runs_of("second"), [])

    def test_a_stream_of_unknown_origin_is_refused(self):
        """A caller names an attempt that no node has served, or none: any engine would be a guess."""
        began = self.fleet.begin_stream(self.nodes[0], "first", 2)
        for i, headers in enumerate([{"X-Vanilladyke-Resumes": "never-seen"}, {}]):
            read = self.take_up(self.nodes[1], f"second-{i}", began, "", headers)
            self.assertEqual(read.status, 503)
            self.assertIn('"ran":"no"', read.text)

    def test_chained_tries_go_on_at_the_version_of_the_first(self):
        """A caller takes a stream up twice, each time at another node, and names the attempt that brought the
        first event. The second attempt did not begin the stream, and may be unknown to the third node."""
        for i in range(12):
            first, began = self.begin(self.nodes[i % 3], f"first-{i}", 1)
            version = self.engine_of(first).software
            headers = {"Resumes": first, "Last-Event-Id": "1"}
            more = self.fleet.begin_stream(self.nodes[(i + 1) % 3], f"second-{i}", 1, headers)
            read = self.take_up(self.nodes[(i + 2) % 3], f"third-{i}", began + more, first)
            self.assertLessEqual(read.software(), {version})
        self.assert_goes_on()


if __name__ == "__main__":
    harness.main()
