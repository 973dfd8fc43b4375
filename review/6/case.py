"""A core machine is replaced as planned; then another one is lost for good."""

import json
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "common-2"))
import wr  # noqa: E402

CATCH_UP_S = wr.BOUNDS["catch_up_s"]
CONTROL = wr.CONTROL
# From the end of the removed process to the loss.
GAP_S = float(os.environ.get("GAP_S", 2))
# "unplanned": the first machine is lost for good, too. The second one follows
# once the first one's successor has had catch_up_s.
UNPLANNED = os.environ.get("MODE") == "unplanned"


def read_back(record, now):
    """Whether the acknowledged configuration doesn't come."""
    # The successor's catch_up_s, and then recovery_s and more.
    time.sleep(CATCH_UP_S)
    until = time.monotonic() + 45
    while time.monotonic() < until:
        status, body = wr.ask_control(now, "GET", "/configuration/get",
                                      limit_s=3)
        if status == 200:
            version = json.loads(body).get("version")
            record(f"read back: version {version}")
            return version != 7
        record(f"read back: {status or 'no answer'}")
    record("the acknowledged configuration didn't come for 45 s")
    return True


def leader(addresses, numbers):
    for n in numbers:
        if wr.call(addresses[n], "GET", "/configuration/get",
                   redirects=0)[0] == 200:
            return n
    raise RuntimeError("no leader")


def lose_leader(system, record, addresses):
    first = leader(addresses, (1, 2, 3))
    others = [n for n in (1, 2, 3) if n != first]
    for lost, new in ((first, 4), (others[0], 5)):
        if lost != first and not wr.TROUBLE:
            break
        system.send(f"control-{lost}", signal.SIGKILL)
        system.wait(f"control-{lost}")
        record(f"control-{lost} is lost for good")
        time.sleep(1)
        system.start(system.add("control", new, "zone-a"))
        if lost == first:
            time.sleep(CATCH_UP_S + 0.05)
    return read_back(record, [addresses[n] for n in (others[1], 4, 5)])


def play(system, record):
    addresses = {n: f"{system.ip(n)}:{CONTROL}" for n in range(1, 6)}
    system.three_controls()
    first = wr.configuration(7, [wr.route("pay", "/pay/", "unsafe", "orders")],
                             [wr.service("orders")])
    now = [addresses[n] for n in (1, 2, 3)]
    status, _body = wr.ask_control(now, "POST", "/configuration/put", first)
    record(f"version 7 sent, answered {status}")
    if status != 200:
        raise RuntimeError("the first version wasn't acknowledged")
    time.sleep(4)

    if UNPLANNED:
        return lose_leader(system, record, addresses)

    # Planned: the new machine first, then SIGTERM of the old one, once the
    # successor has had catch_up_s twice.
    system.start(system.add("control", 4, "zone-a"))
    time.sleep(2 * CATCH_UP_S)
    now = [addresses[n] for n in (1, 2, 3, 4)]
    status, body = wr.ask_control(now, "GET", "/configuration/get")
    record(f"read with the successor there: {status}, version "
           f"{json.loads(body).get('version') if status == 200 else '-'}")
    system.send("control-1", signal.SIGTERM)
    system.wait("control-1")
    record("control-1 has ended; its machine is removed")

    time.sleep(GAP_S)
    if wr.TROUBLE:
        system.send("control-2", signal.SIGKILL)
        system.wait("control-2")
        record("control-2 is lost for good")
        time.sleep(1)
        system.start(system.add("control", 5, "zone-b"))
        now = [addresses[n] for n in (3, 4, 5)]
    else:
        now = [addresses[n] for n in (2, 3, 4)]

    return read_back(record, now)


wr.main(HERE, play)
