"""An engine that can crash and start again under the id and at the address that it had, as the pages of the two new
customers say: it knows nothing of before, its counts start anew, and `born` tells its start."""

import threading
import time

import common
import platform_http


class RebornEngine(common.platform_engine.Engine):
    def __init__(self, name, beats=0, **options):
        super().__init__(name, **options)
        self.beats = beats
        self.born = int(time.time() * 1000)
        self.dark = False

    def entry(self):
        return {**super().entry(), "born": self.born}

    def crash(self):
        """What is open is reset, nobody listens any more, and no entry is written."""
        self.dark = True
        self.state_before, self.state = self.state, "gone"
        self.server.end()

    def begin_again(self):
        self.beats, self.sequence, self.busy = 0, 0, False
        self.born = int(time.time() * 1000)
        self.server = platform_http.Server(("127.0.0.1", self.port), platform_http.Handler)
        self.server.owner = self
        threading.Thread(target=self.server.serve_forever, args=(0.05,), daemon=True).start()
        self.state, self.dark = "ready", False

    def run(self, call, body, identity, common_headers):
        if self.state == "draining":
            common_headers["Connection"] = "close"
            call.close_connection = True
        super().run(call, body, identity, common_headers)
