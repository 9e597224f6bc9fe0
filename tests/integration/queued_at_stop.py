"""Requests that wait unread in a node's queue when its planned stop closes the port."""

import json
import signal
import socket
import time

import harness

LAG_MS = 1500
CALLERS = 4
ROUNDS = 6


class QueuedAtStop(harness.ClusterTest):
    def status_of(self, caller):
        try:
            response = harness.http.client.HTTPResponse(caller)
            response.begin()
            response.read()
            return response.status
        except (OSError, harness.http.client.HTTPException) as error:
            return repr(error)

    def stop_with_callers_queued(self, turn):
        node = self.cluster.node(f"n{turn}", balancer_lag_ms=LAG_MS)
        body = json.dumps({"model": "copy", "stream": True, "max_tokens": 3,
                           "messages": [{"role": "user", "content": "queued"}]})
        request = (f"POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer brand-key\r\n"
                   f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n{body}").encode()
        node.popen.send_signal(signal.SIGTERM)
        harness.wait_until(lambda: harness.http_call(node.port, "GET", "/readyz")[0] == 503, "leaving")
        node.hold_up()
        callers = []
        for _ in range(CALLERS):
            callers.append(socket.create_connection(("127.0.0.1", node.port), timeout=harness.WAIT_SECONDS))
            callers[-1].sendall(request)
        time.sleep(LAG_MS / 1000)  # a node that runs nothing shows nothing to wait for
        node.go_on()
        return [self.status_of(caller) for caller in callers]

    def test_requests_that_came_within_the_balancer_lag_are_answered(self):
        """A node is frozen over the end of its balancer lag. Requests that reached its port before
        that may be served or refused, and must not be cut without a byte."""
        self.cluster.engine("copy-0")
        statuses = [status for turn in range(ROUNDS) for status in self.stop_with_callers_queued(turn)]
        self.assertEqual([status for status in statuses if status not in (200, 503)], [])


if __name__ == "__main__":
    harness.main()
