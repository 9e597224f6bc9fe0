"""A server that has crashed and started again under its id leaves in a planned way."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import common  # noqa: E402: the path is set above
import reborn  # noqa: E402

DRAIN_SECONDS = 2.0     # bounds.drainMs
CONTACT_SECONDS = 3.0   # bounds.contactMs
OBSERVED_SECONDS = 4.0  # for which the leaving server still serves after the drain time
SERVERS = 3             # of the service; one of them crashes and leaves
BEATS_BEFORE = 3000     # entries that the server had written: an hour at one in 1.2 s


def play(case):
    leaver = case.engine("app-0", kind=reborn.RebornEngine, service="app", beats=BEATS_BEFORE)
    for i in range(1, SERVERS):
        case.engine(f"app-{i}", kind=reborn.RebornEngine, service="app", beats=BEATS_BEFORE)
    case.engine("llm-0")
    for engine in case.engines[:SERVERS]:
        engine.seconds = 0.1
    case.publish()
    case.start_nodes(3)

    over, answers, lock = threading.Event(), [], threading.Lock()

    def call_on_and_on(number):
        count = 0
        while not over.is_set():
            count += 1
            node = case.nodes[number % len(case.nodes)]
            identity = f"c{number}-{count}"
            sent = case.at()
            status = common.call(node, "POST", "/call/x", identity)
            with lock:
                answers.append((sent, identity, status))
            time.sleep(0.02)

    threads = [threading.Thread(target=call_on_and_on, args=(i,)) for i in range(36)]
    for each in threads:
        each.start()
    time.sleep(2.0)
    if common.TROUBLE:
        leaver.crash()
        case.note("app-0 crashes")
        time.sleep(1.0)
        leaver.begin_again()
        case.note("app-0 starts again under its id, at its address; its sequence starts anew")
    time.sleep(CONTACT_SECONDS + 2.0)
    leaver.state = "draining"
    case.store.put("keyed.servers", leaver.name, leaver.entry())
    acknowledged = time.monotonic()
    case.note(f"the store has accepted that app-0 is draining, sequence {leaver.beats}")
    time.sleep(DRAIN_SECONDS + OBSERVED_SECONDS)
    leaver.crash()  # it ends; a sound one would have nothing left to do
    case.store.put("keyed.servers", leaver.name, None)
    ended = case.at()
    case.note("app-0 has left")
    time.sleep(1.0)
    over.set()
    for each in threads:
        each.join()

    late = [(at, fields) for at, fields in list(leaver.requests) if at > acknowledged + DRAIN_SECONDS]
    before = [at for at, _ in list(leaver.requests) if at <= acknowledged]
    for sent, identity, status in answers:
        case.note(f"request {identity} sent at {sent:.3f} answered {status}")
    lost = [each for each in answers if each[2] != 200 and each[0] > acknowledged - case.began and each[0] < ended]
    case.note(f"{len(lost)} unsafe requests, sent after the acknowledgement, were not answered with success")
    case.note(f"app-0 got {len(before)} requests before it was draining")
    for at, fields in late:
        case.note(f"DRAIN: request {fields['X-Vanilladyke-Attempt-Id']} reached app-0 {at - acknowledged:.3f} s after the "
                  f"acknowledgement")
    return common.BROKEN if late else common.HELD


sys.exit(common.run("review/3", play))
