"""Processes are killed just after a server said goodbye; one of its heartbeats
arrives late."""

import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "common-2"))
import wr  # noqa: E402

DRAIN_S = wr.BOUNDS["drain_ms"] / 1000
CONTACT_S = wr.BOUNDS["contact_ms"] / 1000
SERVES_ON_S = 12.0  # drain_ms "and a little longer (at times many seconds)"
RESTART_S = 0.5


def find_leader(addresses):
    """The control that answers without a redirect."""
    for name, address in addresses.items():
        if wr.call(address, "GET", "/configuration/get", redirects=0)[0] == 200:
            return name
    return None


class Clients:
    """Sends an order each 50 ms, in turn through the gateways."""

    def __init__(self, fronts, record):
        self.fronts, self.record = fronts, record
        self.open, self.number = True, 0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _one(self, front, request):
        try:
            link = wr.Connection(front, 1)
            try:
                link.socket.settimeout(5)
                link.send("POST", "/pay/2f", wr.headers_of(request), b"order")
                status, _headers, _body = link.receive()
                text = str(status)
            finally:
                link.close()
        except (OSError, EOFError) as error:
            text = f"no answer ({error})"
        self.record(f"the client gets {text} for {request} from {front}")

    def _run(self):
        while self.open:
            self.number += 1
            front = self.fronts[self.number % len(self.fronts)]
            threading.Thread(target=self._one, daemon=True,
                             args=(front, f"9c41d07be2a3{self.number:04x}")
                             ).start()
            time.sleep(0.05)


def play(system, record):
    names = system.three_controls()
    addresses = {name: f"{system.ip(n)}:{wr.CONTROL}"
                 for n, name in enumerate(names, 1)}
    controls = list(addresses.values())
    config = wr.configuration(
        7, [wr.route("pay", "/pay/", "unsafe", "orders")],
        [wr.service("orders")])
    if wr.ask_control(controls, "POST", "/configuration/put", config)[0] != 200:
        raise RuntimeError("the configuration wasn't acknowledged")
    gateways = [system.add("gateway", n, zone)
                for n, zone in ((11, "zone-a"), (12, "zone-b"))]
    for name in gateways:
        system.start(name)
    leaving, staying = (
        wr.Runner(record, controls, "orders", runner, f"{system.ip(n)}:8080",
                  "zone-a")
        for n, runner in ((21, "i-7f3a91c2"), (22, "i-15e09b44")))
    for one in (leaving, staying):
        one.begin_beats()
    for n in (11, 12):
        wr.wait_for("ready gateway", 10, lambda n=n: wr.ready(system, n))
    clients = Clients([f"{system.ip(n)}:{wr.FRONT}" for n in (11, 12)], record)
    time.sleep(CONTACT_S + 1.5)

    # The server's heartbeats to each of the nodes are held up, so it calls the
    # next node after a second without an answer; at last one is acknowledged.
    leaving.beating = False
    time.sleep(leaving.beat_s)
    late = []
    for name in names:
        late.append((name, leaving.beat_body(), time.monotonic()))
        record(f"{leaving.id} sends a heartbeat to {name}, which is held up")
        time.sleep(1.05)
    if not leaving.beat():
        raise RuntimeError("no heartbeat was acknowledged")
    time.sleep(0.2)
    # It never reports that it drains: it says goodbye first and serves on.
    if not leaving.leave():
        raise RuntimeError("the goodbye wasn't acknowledged")
    acknowledged = time.monotonic()
    record(f"the goodbye of {leaving.id} is acknowledged")

    restarted = acknowledged
    if wr.TROUBLE:
        killed = [*names, gateways[0]]
        for name in killed:
            system.send(name, signal.SIGKILL)
        for name in killed:
            system.wait(name)
        time.sleep(RESTART_S)
        for name in killed:
            system.start(name)
        restarted = time.monotonic()
        wr.wait_for("leader", 10, lambda: find_leader(addresses), 0.02)
        record(f"{find_leader(addresses)} leads")
    else:
        time.sleep(2)
    for name, body, sent_at in late:
        status, _answer = wr.call(addresses[name], "POST",
                                  f"/instances/{leaving.id}/heartbeat", body,
                                  redirects=0)
        record(f"the late heartbeat arrives at {name} after "
               f"{time.monotonic() - sent_at:.1f} s: {status}")

    time.sleep(max(0.0, acknowledged + SERVES_ON_S - time.monotonic()))
    leaving.exit()
    record(f"{leaving.id} exits")
    time.sleep(1)
    clients.open = False
    time.sleep(1)
    # Only what arrives when all machines are in touch again.
    from_s = max(acknowledged + DRAIN_S, restarted + CONTACT_S + 0.5)
    reached = [run for run in leaving.runs if run[0] > from_s]
    record(f"{len(reached)} requests reached {leaving.id} over "
           f"{from_s - acknowledged:.1f} s after its goodbye was acknowledged, "
           "from machines in touch")
    return bool(reached)


wr.main(HERE, play)
