"""Nodes that start together list the servers at a store whose reads share one rate: nodes as real processes."""

import json
import threading
import time

import harness
import platform_fleet
import platform_store

NODES = 24
SERVERS = 1500             # three pages
BYTES_A_SECOND = 4_300_000 # a page of each node takes twice as long as the store's other calls may
SLICE = 8192
MOST_READ = 3              # times what all nodes need: a page may be given up twice


class SharedReads(platform_store.Store):
    """Answers listings at one rate for all who ask, in slices or each page as a whole once its time has come."""

    def __init__(self, comes_late):
        super().__init__()
        self.comes_late, self.rate_lock, self.free_at = comes_late, threading.Lock(), 0.0
        self.read, self.whole = 0, []  # bytes taken of the rate; sizes of the listings' last pages

    def take(self, size):
        """Waits until the rate allows so many bytes more."""
        with self.rate_lock:
            self.read += size
            self.free_at = max(self.free_at, time.monotonic()) + size / BYTES_A_SECOND
            until = self.free_at
        time.sleep(max(0.0, until - time.monotonic()))

    def answer(self, call, status, body=b"", headers=None):
        if not isinstance(body, dict) or len(body.get("items", [])) < self.page_items:
            super().answer(call, status, body, headers)
            return
        page = json.dumps(body).encode()
        slices = [page[at:at + SLICE] for at in range(0, len(page), SLICE)]
        if self.comes_late:
            for each in slices:
                self.take(len(each))
        try:
            call.send_response(status)
            call.send_header("Content-Length", str(len(page)))
            call.end_headers()
            for each in slices:
                if not self.comes_late:
                    self.take(len(each))
                call.wfile.write(each)
        except OSError:
            call.close_connection = True  # the caller has given it up
            return
        if not body["hasMore"]:
            self.whole.append(len(page))


class PlatformListing(harness.ClusterTest):
    def check_starts(self, comes_late):
        store = SharedReads(comes_late)
        fleet = platform_fleet.Fleet(self.cluster, store)
        self.addCleanup(fleet.close)
        entry = {"service": "llm", "zone": "z", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
                 "models": [{"name": "m", "version": 1, "adapters": []}], "unknown": "x" * 80}
        for i in range(SERVERS):
            store.put("keyed.servers", f"i-{i:06d}", {**entry, "address": f"127.0.0.1:{1000 + i}"})
        began = time.monotonic()
        for i in range(NODES):
            fleet.node(f"n{i}")
        harness.wait_until(lambda: len(store.whole) >= NODES, "each node has the whole listing")
        need = NODES * store.whole[0] * SERVERS / store.page_items
        print(f"{self.id()}: {NODES} nodes have the listing after {time.monotonic() - began:.1f} s, {store.read / 1e6:.1f} MB "
              f"read, {need / 1e6:.1f} MB needed", flush=True)
        self.assertLessEqual(store.read, MOST_READ * need)

    def test_nodes_that_start_together_list_the_servers_although_pages_come_slowly(self):
        """A page that is given up while it arrives is read in vain, and the listing begins anew: no node ever ends it."""
        self.check_starts(comes_late=False)

    def test_nodes_that_start_together_list_the_servers_although_pages_come_late(self):
        """The same where nothing arrives before the whole page does."""
        self.check_starts(comes_late=True)


if __name__ == "__main__":
    harness.main()
