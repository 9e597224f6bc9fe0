#!/usr/bin/env python3
"""Switches off each mechanism that decides, one by one, plays days, and prints what each is worth.

    tools/ablation.py --bench PROGRAM --play SITE:DAY[:small] ... [--seeds 0,7,8] [--jobs 4]
                      [--only NAME,...] [--work DIR] [--out FILE]

Each worker has a clone of the committed tree below --work, so that no play sees the settings of
another one. Processor time is not charged. The journal entries stay in the clones; copy them into
journal/ afterwards. The result is JSON, one row for each play, and a table of means with spreads.
"""

import argparse
import concurrent.futures
import json
import pathlib
import queue
import re
import statistics
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SETTINGS = "platform/settings.jsonc"
PLAY_SECONDS = 900


def mechanisms():
    text = (ROOT / "include/vanilladyke/policy/mechanism.hpp").read_text()
    return re.findall(r'\{Mechanism::\w+, "(\w+)"\}', text)


def prepare(folder):
    if not folder.exists():
        subprocess.run(["git", "clone", "-q", str(ROOT), str(folder)], check=True)
    configure = ["cmake", "-S", ".", "-B", "target", "-DCMAKE_BUILD_TYPE=Release",
                 "-DVANILLADYKE_TESTS=OFF", "-DCMAKE_CXX_COMPILER_LAUNCHER=ccache"]
    build = ["cmake", "--build", "target", "-j2", "--target", "vanilladyke"]
    for command in (configure, build):
        subprocess.run(command, cwd=folder, check=True, stdout=subprocess.DEVNULL)


def switch_off(folder, name):
    plain = (ROOT / SETTINGS).read_text()
    off = "" if name == "none" else f'    "off": ["{name}"],\n'
    (folder / SETTINGS).write_text(plain.replace("{\n", "{\n" + off, 1))


def play(folder, bench, site, day, small, seed, name):
    report = folder / "target" / "report.json"
    report.unlink(missing_ok=True)
    command = [bench, "run", site, day, "--no-cpu", "--report", str(report), "--why",
               f"Ablation: {name} off, processor time not charged"]
    command += ["--small"] if small else []
    command += ["--seed", seed] if seed != "0" else []
    subprocess.run(command, cwd=folder, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
                   timeout=PLAY_SECONDS, check=False)
    if not report.exists():
        return None
    told = json.loads(report.read_text())
    in_aim = told["all"]["in_aim"] / max(told["all"]["n"] - told["all"]["not_owed"], 1)
    return {"worth": told["G"], "in_aim": in_aim, "refused": told["refused"],
            "broken": sorted(told["breaks"])}


def work(folder, options, names, rows):
    prepare(folder)
    while True:
        try:
            name = names.get_nowait()
        except queue.Empty:
            return
        switch_off(folder, name)
        for each in options.play:
            site, day, *small = each.split(":")
            for seed in options.seeds.split(","):
                result = play(folder, options.bench, site, day, bool(small), seed, name)
                row = {"off": name, "site": pathlib.Path(site).stem + ("-small" if small else ""),
                       "day": day, "seed": seed, "result": result}
                rows.append(row)
                print(json.dumps(row), file=sys.stderr, flush=True)
        switch_off(folder, "none")


def table(rows):
    """What each mechanism is worth: the play with it less the play of the same day without it."""
    plain = {(r["site"], r["day"], r["seed"]): r["result"] for r in rows if r["off"] == "none"}
    sites = sorted({r["site"] for r in rows})
    print("| mechanism | " + " | ".join(sites) + " | broken without |")
    print("|---" * (len(sites) + 2) + "|")
    for name in dict.fromkeys(r["off"] for r in rows):
        cells, broken = [], set()
        for site in sites:
            gains = []
            for row in rows:
                with_it = plain.get((site, row["day"], row["seed"]))
                if row["off"] != name or row["site"] != site or not row["result"] or not with_it:
                    continue
                broken.update(row["result"]["broken"])
                value = row["result"]["worth"]
                gains.append(value if name == "none" else with_it["worth"] - value)
            spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
            cells.append(f"{statistics.mean(gains):+.3f} ± {spread:.3f}" if gains else "-")
        print(f"| {name} | " + " | ".join(cells) + f" | {' '.join(sorted(broken))} |")


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--play", action="append", required=True)
    parser.add_argument("--seeds", default="0,7,8")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--work", type=pathlib.Path, default=pathlib.Path("/tmp/ablation"))
    parser.add_argument("--out", type=pathlib.Path, default=pathlib.Path("/tmp/ablation.json"))
    options = parser.parse_args()
    chosen = options.only.split(",") if options.only else mechanisms()
    names = queue.SimpleQueue()
    for name in ["none", *chosen]:
        names.put(name)
    options.work.mkdir(parents=True, exist_ok=True)
    rows = []
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        workers = [pool.submit(work, options.work / f"w{i}", options, names, rows)
                   for i in range(options.jobs)]
        for each in workers:
            each.result()
    options.out.write_text(json.dumps(rows, indent=1))
    table(rows)


if __name__ == "__main__":
    main()
