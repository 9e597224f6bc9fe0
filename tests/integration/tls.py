"""TLS towards callers and towards engines, from PEM files."""

import http.client
import json
import ssl
import subprocess

import harness


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
        tls = {"callers_tls": {"certificate": self.callers[0], "private_key": self.callers[1]},
               "backends_tls": {"authority": {"engines": engines[0], "callers": self.callers[0]}[authority]}}
        return self.cluster.node_process("n1", **tls)

    def ask(self, node):
        context = ssl.create_default_context(cafile=self.callers[0])
        link = http.client.HTTPSConnection("127.0.0.1", node.port, context=context, timeout=harness.WAIT_SECONDS)
        body = json.dumps({"model": "copy", "stream": True, "max_tokens": 20,
                           "messages": [{"role": "user", "content": "ash"}]})
        link.request("POST", "/v1/chat/completions", body, {"Authorization": "Bearer brand-key"})
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
