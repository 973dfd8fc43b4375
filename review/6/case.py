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

    # Planned: the new machine first, then SIGTERM of the old one, once the
    # successor has had catch_up_s.
    system.start(system.add("control", 4, "zone-a"))
    time.sleep(CATCH_UP_S + 0.5)
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


wr.main(HERE, play)
