"""A small deployment on loopback for the cases of the third review.

Starts the programs of deploy/system.toml as processes of their own, with
settings as deploy/*.toml render them, and plays the platform around them: the
operator, clients and servers, as PROTOCOL.md describes them. Every machine is
an address of 127.0.0.0/8 and all machines use the same ports, as on the
platform. Only Python's standard library is used.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TARGET = os.path.join(REPO, "target")
ZONES = ["zone-a", "zone-b", "zone-c"]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now_ms():
    return int(time.time() * 1000)


class Record:
    """record.txt: what was sent, answered and run, with times in seconds."""

    def __init__(self, case_file):
        path = os.path.join(os.path.dirname(os.path.abspath(case_file)), "record.txt")
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def time(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.time():8.3f} {text}\n")
        self.file.flush()


class CouldNotRun(Exception):
    pass


def free_port_base(addresses):
    """Two ports that no listener uses at any of the addresses, and a third."""
    for _ in range(200):
        base = random.randrange(20000, 30000)
        if all(_is_free(address, base + i) for address in addresses for i in range(5)):
            return base
    raise CouldNotRun("no free ports")


def _is_free(address, port):
    with socket.socket() as one:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            one.bind((address, port))
            return True
        except OSError:
            return False


class Process:
    def __init__(self, system, name, program, settings, log):
        self.system, self.name, self.program = system, name, program
        self.settings, self.log = settings, log
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [os.path.join(TARGET, self.program), "--settings", self.settings],
                cwd=REPO, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.system.record(f"process {self.name} started, pid {self.child.pid}")

    def signal(self, number):
        self.system.record(f"process {self.name}: {signal.Signals(number).name}")
        self.child.send_signal(number)

    def wait(self):
        self.child.wait()

    def running(self):
        return self.child is not None and self.child.poll() is None


class System:
    """Control replicas and gateways."""

    def __init__(self, record, controls=3, gateways=2):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="wr-review-3-")
        self.control_ips = [f"127.11.0.{i + 1}" for i in range(controls)]
        self.gateway_ips = [f"127.12.0.{i + 1}" for i in range(gateways)]
        base = free_port_base(self.control_ips + self.gateway_ips)
        self.internal, self.control_port, self.front_port = base, base + 1, base + 2
        self.ready_port, self.metrics_port = base + 3, base + 4
        self.controls = [self._control(i) for i in range(controls)]
        self.gateways = [self._gateway(i) for i in range(gateways)]
        self.tasks = []
        for program in ("wisteriaroute-control", "wisteriaroute-gateway",
                        "wisteriaroute-sidecar"):
            if not os.access(os.path.join(TARGET, program), os.X_OK):
                raise CouldNotRun(f"target/{program} isn't built")

    def _process_table(self, ip, zone):
        seeds = ", ".join(f'"{one}:{self.internal}"' for one in self.control_ips[:3])
        return (f'[process]\nname = "{ip}"\nregion = "region-1"\n'
                f'data_center = "{zone}"\nlisten = "{ip}:{self.internal}"\n'
                f'controls = [{seeds}]\ncontrol_port = {self.internal}\n'
                f'trusted_network = true\nprotocol = "platform"\n'
                f'listen_metrics = "{ip}:{self.metrics_port}"\n')

    def _make(self, name, program, text):
        settings = os.path.join(self.folder, name + ".toml")
        with open(settings, "w", encoding="utf-8") as file:
            file.write(text)
        return Process(self, name, program, settings, os.path.join(self.folder, name + ".log"))

    def _control(self, i, bootstrap=True, tolerated=None):
        ip, name = self.control_ips[i], f"control-{i + 1}"
        zones = ", ".join(f'"{zone}"' for zone in ZONES)
        return self._make(name, "wisteriaroute-control",
            self._process_table(ip, ZONES[i % 3]) +
            f'\n[control]\ndata_dir = "{self.folder}/{name}"\n'
            f'bootstrap = {"true" if bootstrap else "false"}\n'
            f'listen_http = "{ip}:{self.control_port}"\ndata_centers = [{zones}]\n'
            'replicas_from_controls = true\nsnapshot_entries = 100\nkept_entries = 32\n'
            f'join_automatically = true\ntolerated_losses = '
            f'{(len(self.control_ips) - 1) // 2 if tolerated is None else tolerated}\n')

    def _gateway(self, i):
        ip = self.gateway_ips[i]
        return self._make(f"gateway-{i + 1}", "wisteriaroute-gateway",
            self._process_table(ip, ZONES[i % 3]) + 'learn_controls = true\n'
            f'\n[gateway]\nlisten_http = "{ip}:{self.front_port}"\n'
            f'listen_ready = "{ip}:{self.ready_port}"\nserve_without_quorum = true\n'
            'retry_floor = 6\nserver_limits = true\nmemory_mb = 260\nmax_fds = 4100\n')

    def start(self):
        for process in self.controls + self.gateways:
            process.start()

    def front(self, i):
        return (self.gateway_ips[i], self.front_port)

    def control_addresses(self):
        return [f"{ip}:{self.control_port}" for ip in self.control_ips]

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        waiting = set(self.gateway_ips)
        while waiting and time.monotonic() < end:
            for ip in list(waiting):
                answer = await call(f"{ip}:{self.ready_port}", "GET", "/ready")
                if answer and answer.status == 200:
                    waiting.discard(ip)
            await asyncio.sleep(0.1)
        if waiting:
            raise CouldNotRun("the gateways weren't ready in time")
        self.record("all gateways are ready")

    def stop(self):
        for process in self.controls + self.gateways:
            if process.running():
                process.child.send_signal(signal.SIGCONT)
                process.child.kill()
                process.child.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, on_piece=None):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
            if on_piece:
                on_piece(piece[:-2])
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


async def request(address, method, path, headers=(), body=b"", timeout=5.0, on_piece=None):
    """One request on a connection of its own. Raises OSError, EOFError or
    asyncio.TimeoutError."""
    host, port = address if isinstance(address, tuple) else address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method != "GET":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, answered = await read_head(reader)
            status = int(first.split(" ")[1])
            return Answer(status, answered, await read_body(reader, answered, on_piece))
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


async def call(address, method, path, body=None, timeout=1.0, redirects=2):
    """One call to control: follows 307 twice. None without an answer."""
    data = b"" if body is None else json.dumps(body).encode()
    headers = [("Host", address if isinstance(address, str) else "control"),
               ("Content-Type", "application/json")]
    try:
        answer = await request(address, method, path, headers, data, timeout)
    except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
    if answer.status == 307 and redirects > 0:
        target = answer.headers["location"].removeprefix("http://")
        host, _, rest = target.partition("/")
        return await call(host, method, "/" + rest, body, timeout, redirects - 1)
    return answer


async def call_any(system, method, path, body=None, seconds=10.0):
    """Tries the nodes that serve control in turn until one answers clearly."""
    end = time.monotonic() + seconds
    pause = 0.05
    nodes = system.control_addresses()
    random.shuffle(nodes)
    i = 0
    while time.monotonic() < end:
        answer = await call(nodes[i % len(nodes)], method, path, body)
        if answer is not None and answer.status < 500 and answer.status not in (307, 408, 429):
            return answer
        i += 1
        await asyncio.sleep(pause)
        pause = min(pause * 1.5, 0.5)
    return None


class Runner:
    """A server: one plain process outside of groups. It serves requests, reports
    itself to control, and may crash, leave and start again."""

    def __init__(self, system, service, ip, zone=ZONES[0], slots=12, id=None):
        self.system, self.service, self.ip, self.zone, self.slots = system, service, ip, zone, slots
        self.port = free_port_base([ip])
        self.id = id or f"i-{random.getrandbits(40):010x}"
        self.server = None
        self.writers = set()
        self.beating = None
        self.state = "ready"
        # Called with (runner, method, path, headers, body, writer) for each
        # request that this run is to run.
        self.handler = answer_plainly
        self.arrived = []
        self.runs = 0

    def record(self, text):
        self.system.record(f"server {self.id} ({self.service}): {text}")

    async def start(self, new_id=True):
        if new_id and self.runs:
            self.id = f"i-{random.getrandbits(40):010x}"
        self.runs += 1
        self.born = now_ms()
        self.sequence = 0
        self.state = "ready"
        for _ in range(100):
            try:
                self.server = await asyncio.start_server(self._serve, self.ip, self.port)
                break
            except OSError:
                await asyncio.sleep(0.05)
        self.record(f"starts at {self.ip}:{self.port}")
        self.beating = asyncio.ensure_future(self._beat())

    async def _beat(self):
        while True:
            asyncio.ensure_future(self.beat())
            await asyncio.sleep(1.2)

    def report(self):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "warmup_left_ms": 0,
                "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence, "born": self.born}

    async def beat(self):
        return await call_any(self.system, "POST", f"/instances/{self.id}/heartbeat",
                              self.report(), seconds=3.0)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                if path == "/health":
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                                 b"Wisteriaroute-Instance: " + self.id.encode() + b"\r\n\r\n")
                    continue
                wanted = headers.get("wisteriaroute-expect-instance")
                request_id = headers.get("wisteriaroute-request-id", "")
                if wanted and wanted != self.id:
                    self.record(f"request {request_id} is for {wanted}: 421")
                    writer.write(f"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n"
                                 f"Wisteriaroute-Not-Executed: 1\r\n"
                                 f"Wisteriaroute-Request-Id: {request_id}\r\n\r\n".encode())
                    continue
                self.arrived.append((time.monotonic(), request_id, path, headers))
                self.record(f"runs request {request_id} {method} {path}")
                await self.handler(self, method, path, headers, body, writer)
        except (EOFError, OSError, asyncio.IncompleteReadError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _reset_connections(self):
        for writer in list(self.writers):
            one = writer.get_extra_info("socket")
            try:
                one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            except OSError:
                pass
            writer.transport.abort()

    def crash(self, back_after=None):
        """Ends at once: its connections are reset, its port refuses."""
        self.record("crashes")
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()
            self.server = None
        self._reset_connections()
        if back_after is not None:
            asyncio.get_event_loop().call_later(
                back_after, lambda: asyncio.ensure_future(self.start()))


def seal_headers(runner, headers):
    return (f"Wisteriaroute-Request-Id: {headers.get('wisteriaroute-request-id', '')}\r\n"
            f"Wisteriaroute-Response-Seal: {runner.id}.{random.getrandbits(32):08x}\r\n"
            f"Wisteriaroute-Server-Load: 1,0,{runner.slots}\r\n")


async def answer_plainly(runner, method, path, headers, body, writer):
    text = b"done by " + runner.id.encode()
    writer.write(b"HTTP/1.1 200 OK\r\n" + seal_headers(runner, headers).encode() +
                 f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
    await writer.drain()


def event(number, text="piece"):
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def begin_stream(runner, headers, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n" + seal_headers(runner, headers).encode() +
                 b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")


async def answer_stream(runner, method, path, headers, body, writer, pieces=20, gap=0.02):
    begin_stream(runner, headers, writer)
    for number in range(int(headers.get("last-event-id", 0)) + 1, pieces + 1):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(gap)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


def route(name, prefix, service, kind="unsafe", host="shop.example", **more):
    one = {"name": name, "hostname": host, "path_prefix": prefix, "route_type": kind,
           "timeout_ms": 8000 if kind == "streaming" else 2000, "target_latency_ms": 300,
           "priority": 1, "service": service, "max_attempts": 1 if kind == "unsafe" else 2,
           "public": False}
    if kind == "streaming":
        one.update({"session_affinity": True, "stream_resume": True, "gap_aim_ms": 120,
                    "target_latency_ms": 500})
    one.update(more)
    return one


def service(name, connections=110):
    return {"name": name, "health_path": "/health", "max_connections": connections,
            "protocol": "h1", "tls": False}


def configuration(version, routes, services, keys=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": name, "api_keys": list(held)}
                        for name, held in (keys or {"tenant-1": ["key-1"]}).items()]}


async def put(system, document, seconds=10.0):
    system.record(f"operator sends version {document['version']}")
    answer = await call_any(system, "POST", "/configuration/put", document, seconds)
    system.record(f"operator: version {document['version']} is answered "
                  f"{answer.status if answer else 'nothing'}")
    return answer


def request_id():
    return f"{random.getrandbits(64):016x}"


async def client(system, gateway, method, path, body=b"x", host="shop.example", key="key-1",
                 deadline_ms=4000, id=None, timeout=None, more=(), on_piece=None):
    """One client attempt. Returns the answer; None if there was none."""
    id = id or request_id()
    headers = [("Host", host), ("Wisteriaroute-Request-Id", id),
               ("Wisteriaroute-Deadline-Ms", str(deadline_ms))]
    if key:
        headers.append(("Authorization", f"Bearer {key}"))
    headers += list(more)
    system.record(f"client sends {id} {method} {path} to gateway-{gateway + 1}")
    try:
        answer = await request(system.front(gateway), method, path, headers, body,
                               timeout or deadline_ms / 1000 + 1, on_piece)
    except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        system.record(f"client: {id} has no whole answer: {type(error).__name__}")
        return None
    seal = answer.headers.get("wisteriaroute-response-seal", "none")
    system.record(f"client: {id} is answered {answer.status}, seal {seal}, {answer.body[:60]!r}")
    return answer


def main(case_file, scenario, **options):
    """Runs `scenario(system)`; it returns HELD or BROKEN."""
    record = Record(case_file)
    record(f"trouble: {'yes' if TROUBLE else 'no'}")
    code = COULD_NOT_RUN
    system = None
    try:
        system = System(record, **options)
        system.start()
        code = asyncio.run(asyncio.wait_for(scenario(system), 110))
    except (CouldNotRun, asyncio.TimeoutError, OSError) as error:
        record(f"couldn't run: {error!r}")
    finally:
        if system:
            system.stop()
    text = {HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "the case couldn't run")
    record(text)
    print(text)
    sys.exit(code)
