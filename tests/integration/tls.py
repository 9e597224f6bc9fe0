"""TLS towards callers and towards engines, from PEM files."""

import contextlib
import http.client
import json
import socket
import ssl
import subprocess
import threading

import harness


class TlsService:
    """A plain service over TLS whose answers have no length. The path /cut gets one whose connection ends without the
    notice with which TLS closes in order."""

    def __init__(self, certificate, key):
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.load_cert_chain(certificate, key)
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                with contextlib.suppress(OSError):
                    self.answer(self.context.wrap_socket(connection, server_side=True))

    @staticmethod
    def answer(connection):
        request = b""
        while b"\r\n\r\n" not in request:
            request += connection.recv(4096)
        connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe body")
        if b" /cut " not in request:
            connection.unwrap()
        connection.close()


class Tls(harness.ClusterTest):
    def certificate(self, name):
        """A self-signed certificate for 127.0.0.1 with its key."""
        cert, key = self.cluster.path(name + ".pem"), self.cluster.path(name + "-key.pem")
        subprocess.run(["openssl", "req", "-x509", "-newkey", "ec", "-pkeyopt", "ec_paramgen_curve:prime256v1",
                        "-nodes", "-days", "2", "-subj", "/CN=" + name, "-addext", "subjectAltName=IP:127.0.0.1",
                        "-keyout", key, "-out", cert], check=True, capture_output=True)
        return cert, key

    def start(self, authority):
        self.callers = self.certificate("callers")
        engines = self.certificate("engines")
        self.cluster.engine("copy-1", "--certificate", engines[0], "--key", engines[1])
        service = TlsService(*engines)
        self.addCleanup(service.listener.close)
        self.cluster.bundle["services"] = [{"id": "tags", "backends": [f"127.0.0.1:{service.port}"], "repeatable": True}]
        tls = {"callers_tls": {"certificate": self.callers[0], "private_key": self.callers[1]},
               "backends_tls": {"authority": {"engines": engines[0], "callers": self.callers[0]}[authority]}}
        node = self.cluster.node_process("n1", **tls)
        self.cluster.ensure_bundle(node)
        return node

    def ask(self, node):
        body = json.dumps({"model": "copy", "stream": True, "max_tokens": 20,
                           "messages": [{"role": "user", "content": "ash"}]})
        return self.call(node, "POST", "/v1/chat/completions", body)

    def call(self, node, method, path, body=None):
        context = ssl.create_default_context(cafile=self.callers[0])
        link = http.client.HTTPSConnection("127.0.0.1", node.port, context=context, timeout=harness.WAIT_SECONDS)
        link.request(method, path, body, {"Authorization": "Bearer brand-key"})
        response = link.getresponse()
        answer = response.status, response.read().decode()
        link.close()
        return answer

    def test_a_stream_passes_over_tls_on_both_sides(self):
        node = self.start("engines")
        harness.wait_until(lambda: "event=engine_up" in node.log_text(), "engine known")
        status, body = self.ask(node)
        self.assertEqual(status, 200, body)
        self.assertEqual(harness.streamed_text(body), ("".join(harness.expected_tokens("ash", 20)), True))
        self.assertEqual(node.stop(), 0)

    def test_no_answer_of_a_service_is_made_of_one_that_was_cut(self):
        """An answer without a length is whole if its connection ends in order, and only then."""
        node = self.start("engines")
        harness.wait_until(lambda: self.call(node, "GET", "/services/tags/whole") == (200, "the body"), "served")
        self.assertEqual(self.call(node, "GET", "/services/tags/cut")[0], 502)

    def test_a_service_with_a_foreign_certificate_gets_nothing(self):
        """Something else answers at a service's address. The call counts as not run."""
        node = self.start("callers")
        harness.wait_until(lambda: self.call(node, "GET", "/services/tags/whole")[0] == 502, "the service was tried")
        status, body = self.call(node, "GET", "/services/tags/whole")
        self.assertEqual((status, json.loads(body)["error"]["ran"]), (502, "no"), body)

    def test_an_engine_with_a_foreign_certificate_gets_nothing(self):
        """Something else answers at an engine's address. It must not get to read a prompt."""
        node = self.start("callers")
        harness.wait_until(lambda: "event=serving" in node.log_text(), "serving")
        harness.wait_until(lambda: self.ask(node)[0] == 503, "refused")
        self.assertEqual(self.ask(node)[0], 503)
        self.assertNotIn("event=engine_up", node.log_text())

    def test_wrong_files_are_told_at_the_start(self):
        """Somebody swaps two files in the settings. The node must say so and end, not serve without."""
        cert, key = self.certificate("one")
        _, other = self.certificate("two")
        for files in [(cert, other), (cert, self.cluster.path("missing.pem")), (key, key)]:
            node = self.cluster.node_process("bad", callers_tls={"certificate": files[0], "private_key": files[1]})
            self.assertEqual(node.popen.wait(harness.WAIT_SECONDS), 1)
            self.assertIn("field=callers_tls", node.log_text())


if __name__ == "__main__":
    harness.main()
