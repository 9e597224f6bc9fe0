"""What callers did and what engines saw of their requests, and what nodes logged of those that a test asks about."""

import collections
import datetime
import threading
import time

GONE_AFTER = 0.5  # seconds after a caller's close from which its request may reach no engine


def wall_clock(at):
    """A time of the monotonic clock as logs show it."""
    moment = datetime.datetime.fromtimestamp(time.time() - time.monotonic() + at, datetime.timezone.utc)
    return moment.strftime("%H:%M:%S.%f")[:-3]


class Ledger:
    """What callers did and what engines saw, by the request's id."""

    STORIES = 3  # requests of which a failure tells all

    def __init__(self, fleet):
        self.fleet, self.lock = fleet, threading.Lock()
        self.left, self.statuses = {}, collections.Counter()

    def closing(self, identity):
        with self.lock:
            self.left[identity] = time.monotonic()

    def answered(self, status):
        with self.lock:
            self.statuses[status] += 1

    def late_arrivals(self):
        """Requests that reached an engine after their caller had left, and how many seconds after: once for each engine."""
        return [(fields["X-Vanilladyke-Attempt-Id"], at - self.left[fields["X-Vanilladyke-Attempt-Id"]])
                for engine in list(self.fleet.engines) for at, fields in list(engine.requests)
                if at > self.left.get(fields["X-Vanilladyke-Attempt-Id"], at) + GONE_AFTER]

    def late(self):
        """The same, each request once."""
        return dict(self.late_arrivals())

    def over(self, most):
        """Requests that ran on more engines than `most`, without those that have ended."""
        engines = collections.defaultdict(set)
        for engine in list(self.fleet.engines):
            if engine.state != "gone":
                for identity in list(engine.runs):
                    engines[identity].add(engine.name)
        return {identity: len(names) for identity, names in engines.items() if len(names) > most}

    def story(self, identities):
        """Of some of these requests: when their callers left, when they reached engines, and what the nodes logged."""
        lines = []
        for identity in sorted(identities)[:self.STORIES]:
            left = self.left.get(identity)
            lines.append(f"{identity}: its caller left " + ("at no time" if left is None else f"at {wall_clock(left)}"))
            lines += [f"  {wall_clock(at)} received by {engine.name}" for engine in list(self.fleet.engines)
                      for at, fields in list(engine.requests) if fields["X-Vanilladyke-Attempt-Id"] == identity]
            lines += ["  " + line for line in self.fleet.log_lines(identity)]
        return "\n".join(["", *lines])
