"""A part of prompts that ends the engines which begin to write an answer on it: nodes as real processes, engines
of the stand-in. No two of the requests are alike; sound ones share their caller and their other parts."""

import threading
import time

import harness
import platform_fleet

CONTACT_SECONDS = 3.0  # within which nodes in touch know what the others know
FREE_SENDS = 3         # that may still reach engines after that
ENDS = 5               # engines that a part may end before the time counts
ENGINES = 6
SESSIONS = 5           # of sound requests; each has a part of its own
OBSERVED_SECONDS = 6.0
FEWEST_SOUND = 20      # sound requests; a share of no more shows nothing


class PlatformParts(platform_fleet.FleetTest):
    def setUp(self):
        super().setUp()
        for i in range(ENGINES):
            self.fleet.engine(f"llm-{i}").seconds = 0.05
        self.nodes = [self.fleet.ready_node(f"n{i}") for i in range(3)]
        for node in self.nodes:
            self.fleet.wait_ready(node, hears_others=True)
        self.lock, self.over, self.sound, self.threads = threading.Lock(), False, [], []
        self.addCleanup(self.stop)

    def stop(self):
        self.over = True
        for each in list(self.threads):
            each.join()

    def keep_asking(self, per_second, prefix, parts):
        """Requests at every node in turn, each with an id, a body and a last part of its own."""
        def ask(number):
            fields = {**self.fleet.prompt(), "X-Vanilladyke-Prompt-Prefix": f"{parts(number)},{prefix}{number}:100"}
            began = time.monotonic()
            try:
                status = self.fleet.ask(self.nodes[number % 3], "/stream/x", f"{prefix}-{number}", headers=fields,
                                        body=f"{prefix} {number}")[0]
            except Exception:  # noqa: BLE001: an answer that breaks off is none
                status = None
            if prefix == "sound":
                with self.lock:
                    self.sound.append((began, status))

        def run():
            number, threads = 0, []
            while not self.over:
                threads.append(threading.Thread(target=ask, args=(number,)))
                threads[-1].start()
                number += 1
                time.sleep(1 / per_second)
            for each in threads:
                each.join()

        self.threads.append(threading.Thread(target=run))
        self.threads[-1].start()

    def sound_statuses(self, begin, end):
        """Of the sound requests of that time that have ended."""
        with self.lock:
            return [status for at, status in self.sound if begin <= at < end]

    def share_served(self, begin, end):
        """Share of the sound requests of that time that were served at their first attempt."""
        statuses = self.sound_statuses(begin, end)
        self.assertGreater(len(statuses), FEWEST_SOUND)
        return sum(status == 200 for status in statuses) / len(statuses)

    def play(self, culprit):
        """Sound requests alone, then beside those with the part. @return when the fifth engine had ended (the last, if
        there were fewer), shares of the sound ones that were served before and later"""
        self.keep_asking(30, "sound", lambda i: f"5c1e07a2:800,{i % SESSIONS}5e55:30")
        warm = time.monotonic() + 0.5
        harness.wait_until(lambda: time.monotonic() > warm + 1.5
                           and len(self.sound_statuses(warm, time.monotonic() - 0.5)) > FEWEST_SOUND, "sound requests end")
        begin = time.monotonic()
        before = self.share_served(warm, begin - 0.5)
        self.fleet.ends_on.add("bad0")
        self.keep_asking(10, "killer", culprit)
        deadline = begin + 8.0
        harness.wait_until(lambda: len(self.fleet.ends) >= ENDS or time.monotonic() > deadline, "engines end")
        counted = sorted(at for at, _ in self.fleet.ends)[:ENDS]
        self.assertTrue(counted, "no engine ended")
        settled = counted[-1] + 2 * CONTACT_SECONDS
        time.sleep(max(0.0, settled + OBSERVED_SECONDS - time.monotonic()))
        self.stop()
        return counted[-1], before, self.share_served(settled, settled + OBSERVED_SECONDS - 0.5)

    def check(self, culprit):
        last, before, later = self.play(culprit)
        late = [at for at in self.fleet.arrivals("killer-") if at > last + CONTACT_SECONDS]
        self.assertLessEqual(len(late), FREE_SENDS, f"{len(self.fleet.ends)} engines ended")
        self.assertGreaterEqual(later, before / 2, "sound requests beside them")

    def test_a_second_part_that_ends_engines_is_not_sent_on_and_on(self):
        """Requests that share the second part, no two alike, end engine after engine at all nodes; known by the
        whole request, each of them would take two more. Sound requests share their first part."""
        self.check(lambda i: "5c1e07a2:800,bad0:30")

    def test_a_first_part_that_ends_engines_is_not_sent_on_and_on(self):
        """The same with the part in the first place, and sound requests' parts behind it."""
        self.check(lambda i: f"bad0:30,{i % SESSIONS}5e55:30")


if __name__ == "__main__":
    harness.main()
