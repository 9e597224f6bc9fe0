"""The node that orders new weights is cut off while an order is on its way."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import common  # noqa: E402: the path is set above
import links  # noqa: E402
import platform_store  # noqa: E402

LEASE_SECONDS = 3.0  # bounds.leaseMs
THAW_SECONDS = 0.3   # bounds.thawMs
CUT_SECONDS = 5.5    # node_cut, for_s
ENGINES, NODES = 6, 6


def play(case):
    for i in range(ENGINES):
        case.engine(f"llm-{i}", load_seconds=0.43)
    case.engine("app-0", service="app")
    case.publish()
    all_links, stores, store_ports = [], [], []
    for _ in range(NODES):
        own = links.Links()
        all_links.append(own)
        stores.append(platform_store.StoreOfANode(case.store, {e.port: own.to(e.port) for e in case.engines}))
        store_ports.append(own.to(stores[-1].port))
    case.start_nodes(NODES, store_ports)

    healed, cut_node = [], []

    def watch(number, data):
        if data.startswith(b"POST /order") and not cut_node and common.TROUBLE:
            cut_node.append(number)
            all_links[number].cut()
            case.note(f"n{number} is cut off from the store and all engines; an order is on its way")

            def heal():
                all_links[number].heal()
                healed.append(time.monotonic())
                case.note(f"the cut of n{number} has healed")

            threading.Timer(CUT_SECONDS, heal).start()

    for number, own in enumerate(all_links):
        own.on_bytes = lambda data, n=number: watch(n, data)
    case.name_weights(2)
    case.wait(lambda: all(e.version == 2 for e in case.engines if e.service == "llm"), "all engines have the weights", 30)
    if common.TROUBLE:
        time.sleep(max(0.0, healed[0] + 4 - time.monotonic()) if healed else 4)
    every = sorted(((at, engine.name, order) for engine in case.engines for at, order in list(engine.orders)),
                   key=lambda each: each[0])
    broken, last = 0, {}
    for at, engine, order in every:
        late = bool(healed) and order["holder"].startswith(f"n{cut_node[0]}@") and at > healed[0] - CUT_SECONDS
        excused = late and at < healed[0] + THAW_SECONDS
        case.note(f"order at {at - case.began:.3f} to {engine} by {order['holder']} fence {order['fence']}"
                  + (" (within thawMs)" if excused else ""))
        before = last.get(engine)
        if before and not excused and before[1]["holder"] != order["holder"]:
            if at - before[0] < LEASE_SECONDS or order["fence"] < before[1]["fence"]:
                broken += 1
                case.note(f"ONE: {engine} got an order of {before[1]['holder']}, fence {before[1]['fence']}, and "
                          f"{at - before[0]:.3f} s later one of {order['holder']}, fence {order['fence']}")
        if not excused:
            last[engine] = (at, order)
    return common.BROKEN if broken else common.HELD


sys.exit(common.run("review/2", play))
