"""Streams that callers take up at a node that is out of step while engines of a new software version join: it stood still,
or does not reach the store, the other nodes, or both. Nodes as real processes, engines of the stand-in."""

import signal
import threading
import time

import harness
import platform_fleet

STREAMS = 12
EVENTS = 5  # of a whole stream
TRIES_SECONDS = 2.0  # for which a caller that is refused comes back


class PlatformOutOfStep(platform_fleet.FleetTest):
    def start_fleet(self, count):
        for each in self.fleet.config["routes"]:
            each["timeoutMs"] = 20000
        self.fleet.publish()
        self.fleet.first_start = True
        self.start_proxy()
        self.old = self.engines("old", "v1")
        for i in range(count):
            self.fleet.node(f"n{i}", self.link(f"store-{i}", self.fleet.store.port), keys_valid_ms=5000)
        for node in self.fleet.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        harness.wait_until(lambda: "llm" in self.fleet.store.newest("keyed.vanilladyke.software"), "it is recorded")
        *self.others, self.node = self.fleet.nodes
        self.addCleanup(self.resume_all)

    def engines(self, name, software):
        return [self.fleet.engine(f"llm-{name}-{i}", software) for i in range(2)]

    def stop(self, nodes):
        for each in nodes:
            each.popen.send_signal(signal.SIGSTOP)

    def resume(self, nodes):
        for each in nodes:
            each.popen.send_signal(signal.SIGCONT)

    def resume_all(self):
        self.resume([each for each in self.fleet.nodes if each.popen.poll() is None])

    def cut_from_store(self):
        self.break_link(self.links[-1], hold=True)

    def engines_join(self):
        """Engines of the next version. All nodes but the last one know them."""
        joined = self.engines("new", "v1.1")
        for node in self.others:
            harness.wait_for_node(node, lambda n=node: all(f"backend={each.name} " in n.log_text() for each in joined), "knows")

    def prompt(self, number):
        """Of a stream: none shares a part with another, so that no cache binds it to an engine."""
        return self.fleet.prompt(f"{number:08x}")

    def begin(self, software):
        """Streams that the version has begun at the other nodes, two events each. @return them by their number"""
        begun = {}
        for i in range(30 * STREAMS):
            data = self.fleet.begin_stream(self.others[i % len(self.others)], f"first-{i}", 2,
                                           {"X-Vanilladyke-Deadline-Ms": "15000", **self.prompt(i)})
            if len(data) == 2 and data[0].endswith(" " + software):
                begun[i] = data
            if len(begun) == STREAMS:
                break
        self.assertEqual(len(begun), STREAMS, "streams begin")
        return begun

    def take_up(self, begun, names_first, sent=lambda: None):
        """All at once at the last node; who is refused comes back for a while. @return what their callers have then"""
        reads = []

        def take(number, data):
            named = {"X-Vanilladyke-Resumes": f"first-{number}"} if names_first else {}
            until = time.monotonic() + TRIES_SECONDS
            read, tries = None, 0
            while read is None or (read.status == 503 and time.monotonic() < until):
                time.sleep(0.2 if read else 0)
                tries += 1
                read = self.fleet.read_stream(self.node, f"again-{number}-{tries}", {
                    **named, **self.prompt(number), "Last-Event-Id": "2", "X-Vanilladyke-Deadline-Ms": "8000"})
            read.data = data + read.data
            reads.append(read)

        threads = [threading.Thread(target=take, args=each) for each in begun.items()]
        for each in threads:
            each.start()
        sent()
        for each in threads:
            each.join()
        for each in reads:
            # Neither a piece that is missing, nor one that comes twice, nor an end before the last piece.
            numbers = [int(data.split(" ")[0].rsplit(".", 1)[1]) for data in each.data]
            self.assertEqual(numbers, list(range(1, len(numbers) + 1)), each.data)
            self.assertEqual(self.whole([each]), len(numbers) == EVENTS, each.data)
        print(self.id(), len(reads), "taken up,", self.whole(reads), "went on,", len(self.joined(reads)), "of two versions")
        return reads

    @staticmethod
    def joined(reads):
        return [each.data for each in reads if len(each.software()) > 1]

    @staticmethod
    def whole(reads):
        return sum(each.status == 200 and each.whole for each in reads)

    def assert_goes_on(self, reads):
        """At least half of them: new ones all begin here."""
        taken_up = [line for line in self.node.log_text().splitlines() if "event=stream_taken_up" in line]
        self.assertGreaterEqual(2 * self.whole(reads), STREAMS, "\n".join(taken_up[-3:]))

    def resume_with_requests(self):
        """The node goes on once the requests lie in its socket."""
        time.sleep(0.3)
        self.resume([self.node])

    def test_a_node_that_stood_still_joins_no_streams_of_two_versions(self):
        """A process that goes on takes its list of servers for the present one, and reads the requests in its socket first."""
        self.start_fleet(3)
        self.stop([self.node])
        self.engines_join()
        reads = self.take_up(self.begin("v1.1"), False, self.resume_with_requests)
        self.assertEqual(self.joined(reads), [])

    def test_streams_go_on_at_a_node_that_stood_still(self):
        """Other nodes know which version began the stream, and its engines serve. The node's list lacks them at first."""
        self.start_fleet(3)
        self.stop([self.node])
        self.engines_join()
        reads = self.take_up(self.begin("v1.1"), True, self.resume_with_requests)
        self.assertEqual(self.joined(reads), [])
        self.assert_goes_on(reads)

    def test_a_node_that_is_cut_off_from_the_store_joins_no_streams_of_two_versions(self):
        """Its configuration is still valid, its list of servers is not the present one, and the other nodes say so."""
        self.start_fleet(3)
        self.cut_from_store()
        self.engines_join()
        reads = self.take_up(self.begin("v1.1"), False)
        self.assertEqual(self.joined(reads), [])

    def test_a_node_that_is_cut_off_from_all_joins_no_streams_of_two_versions(self):
        """No node that knows the stream answers, though its caller names the first attempt."""
        self.start_fleet(6)
        self.cut_from_store()
        self.engines_join()
        begun = self.begin("v1.1")
        self.stop(self.others)
        reads = self.take_up(begun, True)
        self.assertEqual(self.joined(reads), [])

    def test_streams_go_on_where_there_is_one_version(self):
        """No node was told of them, and their callers don't name their first attempt."""
        self.start_fleet(3)
        reads = self.take_up(self.begin("v1"), False)
        self.assert_goes_on(reads)


if __name__ == "__main__":
    harness.main()
