"""Measures what a node adds to the first token and its requests a second per core."""

import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "integration"))
import harness


def main():
    cluster = harness.Cluster(os.path.abspath(sys.argv[1] if len(sys.argv) > 1 else "build"))
    try:
        for i in range(3):
            cluster.engine(f"copy-{i}", "--step-ms", "1", "--slots", "512", "--prefill-rate", "100000000")
            cluster.bundle["engines"][i]["slots"] = 512
        cluster.bundle["customers"][0]["key_digests"] = [harness.key_digest("load-key")]
        node = cluster.node("n1")
        load = [f"{cluster.build}/tests/vanilladyke_load", "--node", str(node.port), "--pid", str(node.popen.pid)]
        for title, options in [("one caller, by turns", ["--engine", str(cluster.engines["copy-0"]), "--clients", "1"]),
                               ("8 callers, by turns", ["--engine", str(cluster.engines["copy-0"])]),
                               ("32 callers, node only", ["--clients", "32"]),
                               ("32 callers, node only, 64 KiB prompts",
                                ["--clients", "32", "--prompt-bytes", "65536"])]:
            print(f"== {title}", flush=True)
            subprocess.run(load + options, check=True)
        print("node exit", node.stop())
    finally:
        cluster.close()


if __name__ == "__main__":
    main()
