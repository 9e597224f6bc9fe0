#!/usr/bin/env python3
"""Makes the tables of docs/CAPACITY.md from measured slopes.

Usage: capacity_page.py [--check] PAGE < SLOPES
  Without --check the tables between the page's markers are written anew. With --check nothing is
  written: each slope is compared with the page's, and one that is off by more than the page's stated
  spread is an error.
"""

import argparse
import re
import sys

# What the users ask for in two years.
NODES, ENGINES, CELLS = 410, 6700, 12
REQUESTS, TOKENS = 24_000, 9_600_000
BLOCKS, CACHE_EVENTS = 1_200_000_000, 730_000
CUSTOMERS, BUNDLES_A_DAY = 16_000, 24_000
BUDGET_CORE, BUDGET_BYTES, BUDGET_RATE = 0.037, 32e6, 3000
# What the sums assume besides; each is named on the page.
CELL_NODES, CELL_ENGINES = NODES / CELLS, ENGINES / CELLS
PROMPT_KILOBYTES = 24
CLAIMED_CALLS = 240
CLAIM_WINDOW = 600
CLAIM_RECORD_BYTES = 200
CLAIM_STREAMS = 128
EVENT_BYTES = 40
FRAMING_BYTES = 120
POLL_BYTES = 420
CHANGE_BYTES = 600
LINK_IDLE_SECONDS, PROBES_A_SECOND = 30, 4
PUBLISHES_A_SECOND = 20
STREAM_SECONDS = 10
VIEW_ENTRIES = 262_144
SPREAD_ALLOWED = 2.0

SLOPE = re.compile(r"slope role=(\S+) cost=(\S+) per=(\S+) base=(\S+) per_unit=(\S+) spread=(\S+) samples=(\S+)")


class Slopes:
    """The measured lines by role and cost."""

    def __init__(self, lines):
        self.rows = [match.groups() for match in map(SLOPE.match, lines) if match]

    def find(self, role, cost):
        for row in self.rows:
            if row[:2] == (role, cost):
                return row
        sys.exit(f"capacity_page: no slope for {role} {cost}")

    def at(self, role, cost, size):
        """The fitted cost at a size; where the smallest sample is larger, that one holds below it."""
        row = self.find(role, cost)
        samples = [tuple(map(float, sample.split(":"))) for sample in row[6].split(",")]
        low, high = samples[0], samples[-1]
        if size <= low[0]:
            return low[1]
        for left, right in zip(samples, samples[1:]):
            if size <= right[0]:
                share = (size - left[0]) / (right[0] - left[0])
                return left[1] + share * (right[1] - left[1])
        return high[1] + float(row[4]) * (size - high[0])

    def per_unit(self, role, cost):
        return float(self.find(role, cost)[4])

    def table(self):
        out = ["| role | cost | per | base | for each | worst sample off by | samples (size:value) |",
               "|---|---|---|---|---|---|---|"]
        for role, cost, per, base, unit, spread, samples in self.rows:
            shown = samples.replace(",", ", ")
            out.append(f"| {role} | {cost} | {per} | {base} | {unit} | {float(spread):.0%} | {shown} |")
        return out


def core(micros_a_second):
    return f"{micros_a_second / 1e4:.3g} %"


def size(count):
    for unit, factor in (("GB", 1e9), ("MB", 1e6), ("KB", 1e3)):
        if count >= factor:
            return f"{count / factor:.3g} {unit}"
    return f"{count:.0f} B"


def rate(bytes_a_second):
    return size(bytes_a_second) + "/s"


class Row:
    """One role of a node: what it costs for control."""

    def __init__(self, role, state, messages, cpu, memory, wire, mechanism):
        self.role, self.state, self.messages = role, state, messages
        self.cpu, self.memory, self.wire, self.mechanism = cpu, memory, wire, mechanism

    def text(self):
        return (f"| {self.role} | {self.state} | {self.messages} | {core(self.cpu)} | {size(self.memory)} "
                f"| {rate(self.wire)} | {self.mechanism} |")


def today_rows(slopes):
    """Today's mechanisms at the target's size, where they do not carry it."""
    poll = slopes.per_unit("polling", "cpu_us_per_s")
    bundle_bytes = slopes.at("bundle", "bytes_written", CUSTOMERS)
    bundle_cpu = slopes.at("bundle", "cpu_us_per_bundle", CUSTOMERS)
    bundles = BUNDLES_A_DAY / 86_400
    link = slopes.per_unit("peer_links", "bytes")
    event = slopes.at("cache_view", "cpu_us_per_event", 1_048_576)
    claim = slopes.at("claims", "cpu_us_per_claim", 64_000)
    claim_bytes = slopes.per_unit("claims", "bytes")
    return [
        Row("engines", f"{ENGINES} engines", f"{10 * ENGINES:,} polls/s", poll * ENGINES,
            slopes.at("engines", "bytes", ENGINES), 10 * ENGINES * POLL_BYTES, "every node polls every engine"),
        Row("cache view", f"{BLOCKS / 1e9:.1f} billion blocks", f"{CACHE_EVENTS:,} events/s", event * CACHE_EVENTS,
            BLOCKS * 32, CACHE_EVENTS * EVENT_BYTES, "every node hears every event, 32 bytes a block"),
        Row("claims", f"{CLAIMED_CALLS * CLAIM_WINDOW:,} claims", f"{2 * CLAIMED_CALLS} records/s",
            2 * claim * CLAIMED_CALLS, claim_bytes * CLAIMED_CALLS * CLAIM_WINDOW,
            2 * CLAIMED_CALLS * CLAIM_RECORD_BYTES, "every node tails every claim"),
        Row("bundle", f"{CUSTOMERS:,} customers", f"{bundles:.2f} bundles/s", bundle_cpu * bundles,
            slopes.at("bundle", "bytes", CUSTOMERS), bundle_bytes * bundles, "every change is a whole bundle"),
        Row("peer links", f"{NODES - 1} links", "8 messages/s", 8 * slopes.at("peer_links", "cpu_us_per_exchange", 64) / 2,
            link * (NODES - 1), slopes.at("membership", "bytes_out_per_s", NODES),
            "probes of all nodes keep a link to each open"),
    ]


def target_rows(slopes):
    """The mechanisms that carry the target, with what one node pays."""
    own_engines = ENGINES / NODES
    links = min(NODES, LINK_IDLE_SECONDS * PROBES_A_SECOND)
    exchange = slopes.at("peer_links", "cpu_us_per_exchange", 64)
    bundles = BUNDLES_A_DAY / 86_400
    claims = CLAIMED_CALLS / CLAIM_STREAMS * 2
    poll = slopes.per_unit("polling", "cpu_us_per_s") / 10
    return [
        Row("membership", f"{NODES} members", "8 messages/s each way", slopes.at("membership", "cpu_us_per_s", NODES)
            + 8 * exchange / 2, slopes.at("membership", "bytes", NODES),
            slopes.at("membership", "bytes_out_per_s", NODES) + 8 * FRAMING_BYTES, "random probes with rumours (built)"),
        Row("peer links", f"{links:.0f} links", "the above", 0.0, links * slopes.per_unit("peer_links", "bytes"), 0,
            "links idle for 30 s are closed (built)"),
        Row("engines", f"{CELL_ENGINES:.0f} engines of the cell", f"{own_engines / 2:.1f} polls/s",
            own_engines / 2 * poll + PUBLISHES_A_SECOND * slopes.at("engines", "cpu_us_per_publish", CELL_ENGINES),
            slopes.at("engines", "bytes", CELL_ENGINES) * 2, own_engines / 2 * 60,
            "loads ride on answers; each node watches its rendezvous share every 2 s in 60-byte reports; deaths as rumours"),
        Row("cache view", f"{VIEW_ENTRIES:,} entries", "none of its own", 0.0, VIEW_ENTRIES * 32, 0,
            "cached tokens reported on answers, at prefix levels in place of blocks; homes by rendezvous need no view"),
        Row("claims", f"{CLAIMED_CALLS / CLAIM_STREAMS * CLAIM_WINDOW:,.0f} claims",
            f"{claims:.1f} records/s", claims * slopes.at("claims", "cpu_us_per_claim", 4000),
            slopes.per_unit("claims", "bytes") * CLAIMED_CALLS / CLAIM_STREAMS * CLAIM_WINDOW,
            claims * CLAIM_RECORD_BYTES, f"{CLAIM_STREAMS} claim streams by key; a node tails one and hands other keys on"),
        Row("bundle", f"{CUSTOMERS:,} customers", f"{bundles:.2f} changes/s",
            bundles * 2 * slopes.at("bundle", "cpu_us_per_bundle", 8), slopes.at("bundle", "bytes", CUSTOMERS),
            bundles * CHANGE_BYTES, "changes in place of whole bundles; a whole one as checkpoint every hour"),
        Row("orders", f"{own_engines:.1f} engines", "0.1/s", 100.0, 10_000, 20, "one node an engine, by rendezvous (built)"),
        Row("metrics", "4,000 series", "one scrape every 15 s",
            slopes.at("metrics", "cpu_us_per_scrape", 4000) / 15, 4000 * 200, 0, "scrapes go to operators, not counted as control on the wire"),
    ]


def traffic_table(slopes):
    per_node = REQUESTS / NODES
    streams = per_node * STREAM_SECONDS
    tokens = TOKENS / NODES
    entry = per_node * slopes.at("entry", "cpu_us_per_prompt", PROMPT_KILOBYTES)
    naming = per_node * slopes.at("customers", "cpu_us_per_request", CUSTOMERS)
    rows = [
        ("entry", f"{per_node:.1f} requests/s of {PROMPT_KILOBYTES} KB", core(entry + naming), "-"),
        ("placement", f"{per_node:.1f} decisions/s among {CELL_ENGINES:.0f} engines",
         core(per_node * slopes.at("placement", "cpu_us_per_decision", CELL_ENGINES)), "-"),
        ("queue", f"{per_node:.1f} jobs/s of {CUSTOMERS:,} customers",
         core(per_node * slopes.at("queue", "cpu_us_per_job", CUSTOMERS)), "-"),
        ("stream carriage", f"{tokens:,.0f} tokens/s in {streams:.0f} streams of {STREAM_SECONDS} s",
         core(tokens * slopes.per_unit("streams", "cpu_us_per_s")), size(streams * slopes.per_unit("streams", "bytes"))),
    ]
    out = ["| role | load of one node | processor (of one core) | memory |", "|---|---|---|---|"]
    return out + [f"| {' | '.join(row)} |" for row in rows]


def control_table(rows):
    out = ["| role | state | messages | processor (of one core) | memory | wire | mechanism |", "|---|---|---|---|---|---|---|"]
    out += [row.text() for row in rows]
    total = Row("**sum**", "", "", sum(row.cpu for row in rows), sum(row.memory for row in rows),
                sum(row.wire for row in rows), f"budget: {BUDGET_CORE:.1%}, {size(BUDGET_BYTES)}, {rate(BUDGET_RATE)}")
    return out + [total.text()]


def render(page, slopes):
    tables = {"slopes": slopes.table(), "today": control_table(today_rows(slopes)),
              "target": control_table(target_rows(slopes)), "traffic": traffic_table(slopes)}
    for name, lines in tables.items():
        block = re.compile(rf"(<!-- {name} -->\n).*?(<!-- end {name} -->)", re.S)
        if not block.search(page):
            sys.exit(f"capacity_page: the page has no markers for {name}")
        page = block.sub(lambda match, text="\n".join(lines): match[1] + text + "\n" + match[2], page)
    return page


def check(page, slopes):
    """Compares the largest sample of each slope with the page's."""
    failed = 0
    for role, cost, per, _, _, _, samples in slopes.rows:
        known = re.search(rf"^\| {role} \| {cost} \| {per} \|.*\| ([^|]*) \|$", page, re.M)
        now = float(samples.rsplit(":", 1)[1])
        then = float(known[1].rsplit(":", 1)[1]) if known else float("nan")
        ratio = now / then if then else 1.0
        good = 1 / SPREAD_ALLOWED <= ratio <= SPREAD_ALLOWED
        failed += not good
        print(f"check role={role} cost={cost} page={then:.4g} now={now:.4g} ratio={ratio:.2f} {'ok' if good else 'OFF'}")
    return failed


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    parser.add_argument("page")
    arguments = parser.parse_args()
    slopes = Slopes(sys.stdin.read().splitlines())
    with open(arguments.page, encoding="utf-8") as page:
        text = page.read()
    if arguments.check:
        sys.exit(1 if check(text, slopes) else 0)
    with open(arguments.page, "w", encoding="utf-8") as page:
        page.write(render(text, slopes))


if __name__ == "__main__":
    main()
