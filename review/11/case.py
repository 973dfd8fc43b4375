"""Two ranks of a group begin a pass with different maps.

One order to arm and some to disarm are carried out late, and the coordinator's
process is killed twice.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from harness import *  # noqa: E402,F403

RANKS = 4
EXPERTS = 8
PLACES = 3
COPY_S = 0.2
PASS_S = 0.04
# "an order [..] may be carried out seconds later": 2 to 12 s (fleetbench kinds).
ARM_LATE_S = 2.2
DISARM_LATE_S = 9.0
# The second process is back after this time (node_kill: for_s 3.5 at this site).
DOWN_S = 2.0


class Rank:
    def __init__(self, group, number):
        self.group, self.number = group, number
        self.map, self.experts = 0, [sorted(range(number, EXPERTS, RANKS))]
        self.highest = self.token = 0
        self.prepared = None  # (version, experts, time)
        self.armed = None  # (version, step)
        self.held = None

    def record(self, text):
        self.group.system.record(f"rank {self.number}: {text}")

    def is_prepared(self, version):
        return (self.prepared and self.prepared[0] == version and
                time.monotonic() >= self.prepared[2])

    def carry_out(self, order):
        """Returns the status, as PROTOCOL.md has it."""
        kind, version, step = order["operation"], order.get("version"), order.get("step")
        if order.get("epoch") not in (None, 1):
            return 409
        if kind == "prepare":
            if version <= self.highest or self.armed:
                return 409
            self.highest = version
            experts = [ranks[self.number] for ranks in order["map"]]
            self.prepared = (version, experts, time.monotonic() + COPY_S)
            return 202
        if kind == "arm":
            if not self.is_prepared(version) or step <= self.group.step:
                return 409
            self.armed = (version, step)
        elif kind == "disarm":
            if self.map == version:
                return 409
            if self.armed and self.armed[0] == version:
                self.armed = None
        elif kind == "hold":
            if step <= self.group.step or (self.held and self.held != step):
                return 409
            self.held = step
        elif kind == "go":
            if self.held != step:
                return 409
            self.held = None
        else:
            return 400
        return 200

    def report(self):
        prepared = self.prepared[0] if self.prepared and self.is_prepared(self.prepared[0]) else None
        return {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0,
                "kv_total": 280000, "handles": 0, "pace": 1, "born": self.group.born,
                "group": {"name": "g1", "epoch": 1, "rank": self.number, "state": "open"},
                "size": RANKS, "step": self.group.step, "map": self.map, "prepared": prepared,
                "armed": {"version": self.armed[0], "step": self.armed[1]} if self.armed else None,
                "held": self.held}


class Group:
    def __init__(self, system):
        self.system, self.step, self.active, self.born = system, 5, 0, now_ms()
        self.ranks = [Rank(self, number) for number in range(RANKS)]
        self.broken = False
        self.orders = self.late = 0
        # Set by the scenario: called with (rank, order); returns the seconds by
        # which the order is carried out late, without an answer, or None.
        self.delay = lambda rank, order: None
        self.on_order = lambda rank, order: None

    async def run(self):
        """All ranks execute each pass together; an idle group makes none."""
        while True:
            await asyncio.sleep(PASS_S)
            following = self.step + 1
            if self.active == 0 or any(rank.held == following for rank in self.ranks):
                continue
            self.step = following
            for rank in self.ranks:
                if rank.armed and rank.armed[1] == following:
                    rank.map, rank.experts = rank.armed[0], rank.prepared[1]
                    rank.armed = rank.prepared = None
            maps = [rank.map for rank in self.ranks]
            if len(set(maps)) > 1:
                if not self.broken:
                    self.system.record(f"PASS {following} BEGINS WITH THE MAPS {maps}")
                self.broken = True
            elif following % 10 == 0:
                self.system.record(f"pass {following} begins with the map {maps[0]} at all ranks")


class RankRunner(Runner):
    def __init__(self, system, group, number):
        super().__init__(system, "assistant", f"127.15.0.{number + 1}", ZONES[number % 3])
        self.group, self.rank = group, group.ranks[number]
        self.handler = self.generate

    def report(self):
        return super().report() | {"group": {"name": "g1", "epoch": 1, "rank": self.rank.number,
                                             "state": "open"}, "size": RANKS}

    async def generate(self, runner, method, path, headers, body, writer):
        self.group.active += 1
        try:
            begin_stream(runner, headers, writer)
            for number in range(1, 31):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(PASS_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.group.active -= 1

    async def _serve(self, reader, writer):
        """Calls of the rank's interface; everything else as a plain server."""
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                answer = 200, None
                if path == "/report":
                    answer = 200, self.rank.report()
                elif path.startswith("/picked"):
                    answer = 200, {"step": self.group.step, "epoch": 1, "counts": [0] * EXPERTS,
                                   "map": {"version": self.rank.map, "experts": self.rank.experts},
                                   "prepared": None}
                elif path == "/order":
                    status = self.order(json.loads(body))
                    if status is None:
                        await asyncio.sleep(30)
                        return
                    answer = status, {}
                else:
                    id = headers.get("wisteriaroute-request-id", "")
                    if headers.get("wisteriaroute-expect-instance", self.id) != self.id:
                        writer.write(f"HTTP/1.1 421 x\r\nWisteriaroute-Request-Id: {id}\r\n"
                                     "Content-Length: 0\r\n\r\n".encode())
                        continue
                    self.record(f"runs request {id}")
                    await self.generate(self, method, path, headers, body, writer)
                    continue
                text = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def order(self, order):
        rank, token = self.rank, order.get("fencing_token", 0)
        text = (f"{order['operation']} of token {token}, version {order.get('version')}, "
                f"step {order.get('step')}")
        if token < rank.token:
            rank.record(f"{text}: 412")
            return 412
        rank.token = token
        self.group.orders += 1
        late = self.group.delay(rank, order)
        if late is None:
            status = rank.carry_out(order)
            rank.record(f"{text}: {status}")
        else:
            self.group.late += 1
            rank.record(f"{text}: no answer, carried out {late} s later")

            def act():
                rank.record(f"{text}: carried out late, {rank.carry_out(order)}")
            asyncio.get_event_loop().call_later(late, act)
            status = None
        self.group.on_order(rank, order)
        return status


def start_sidecar(system, number, runner):
    ip = f"127.15.0.{number + 1}"
    return system._make(f"sidecar-{number + 1}", "wisteriaroute-sidecar",
        system._process_table(ip, ZONES[number % 3]) + 'learn_controls = true\n'
        f'\n[sidecar]\nserver = "{ip}:{runner.port}"\nservice = "assistant"\n')


async def scenario(system):
    group = Group(system)
    runners = [RankRunner(system, group, number) for number in range(RANKS)]
    engine = {"slots": 12, "kv_capacity": 280000, "kv_token_bytes": 35136, "link_mbps": 44000.0,
              "stride": 1, "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.9,
              "context_per_k": 0.02, "read_per_s": 61400.0, "pairs_per_m": 0.5, "chunk": 512,
              "report_lag_ms": 200.0, "usual": {"prompt": 835, "answer": 97}, "sets": 1,
              "experts": EXPERTS, "places": PLACES, "spare": 1, "expert_mb": 100.0,
              "expert_share": 0.85, "form_ms": 600.0}
    document = configuration(3, [route("notes", "/model/", "assistant", "streaming")],
                             [service("assistant", 418) | {"engine": engine}])
    answer = await put(system, document)
    if answer is None or answer.status != 200:
        raise CouldNotRun("the first configuration wasn't acknowledged")
    for one in runners:
        await one.start()
    sidecars = [start_sidecar(system, number, runners[number]) for number in range(RANKS)]
    system.gateways += sidecars  # stopped with them
    passes = asyncio.ensure_future(group.run())

    holder = None
    arm_late_rank = None
    tokens = []
    killed = []
    second_token = asyncio.Event()
    all_armed_others = asyncio.Event()

    def delay(rank, order):
        if not TROUBLE or not tokens:
            return None
        first = order["fencing_token"] == tokens[0]
        if first and order["operation"] == "arm" and rank.number == arm_late_rank:
            return ARM_LATE_S
        if len(killed) == 1 and not first:
            return DISARM_LATE_S if order["operation"] == "disarm" else ARM_LATE_S + 1
        return None

    def on_order(rank, order):
        nonlocal holder, arm_late_rank
        if order["operation"] == "hold" and holder is None:
            holder = rank.number
            # Not the next coordinators' own ranks.
            arm_late_rank = (holder + 3) % RANKS
            tokens.append(order["fencing_token"])
        if holder is None:
            return
        if order["operation"] == "arm" and all(
                one.armed for one in group.ranks if one.number != arm_late_rank):
            all_armed_others.set()
        if order["fencing_token"] > tokens[0] and order["operation"] in ("disarm", "prepare"):
            second_token.set()

    group.delay, group.on_order = delay, on_order
    for one in sidecars:
        one.start()
    await system.wait_ready()
    await asyncio.wait_for(all_armed_others.wait(), 30)

    if TROUBLE:
        def kill(number):
            sidecars[number].signal(signal.SIGKILL)
            sidecars[number].wait()
            killed.append(number)

        async def restart(number, after):
            await asyncio.sleep(after)
            sidecars[number].start()

        kill(holder)  # The hold is at the coordinator's own rank.
        asyncio.ensure_future(restart(holder, 0.5))
        await asyncio.wait_for(second_token.wait(), 20)
        await asyncio.sleep(0.03)
        second = (holder + 1) % RANKS
        kill(second)
        asyncio.ensure_future(restart(second, DOWN_S))

    # Until the hold is released; the group is idle.
    end = time.monotonic() + 25
    while time.monotonic() < end and any(one.held for one in group.ranks):
        await asyncio.sleep(0.02)
    system.record(f"held: {[one.held for one in group.ranks]}, "
                  f"armed: {[one.armed for one in group.ranks]}")
    # Clients come when the late orders have been carried out.
    await asyncio.sleep(DISARM_LATE_S + 1)
    system.record(f"armed: {[one.armed for one in group.ranks]}, step {group.step}; "
                  f"{group.late} of {group.orders} orders were late")
    for number in range(8):
        asyncio.ensure_future(client(
            system, 0, "POST", "/model/a", b"note %d" % number, deadline_ms=8000,
            more=[("Wisteriaroute-Model", "m"), ("Wisteriaroute-Token-Usage", "460,80"),
                  ("Wisteriaroute-Prompt-Prefix", "5c1e07a2:400,e4402b7d:60")]))
        await asyncio.sleep(0.3)
    await asyncio.sleep(3)
    passes.cancel()
    system.record(f"the group has begun {group.step - 5} passes")
    if group.step <= 6:
        raise CouldNotRun("the group made no passes")
    return BROKEN if group.broken else HELD


main(__file__, scenario, gateways=1)
