"""A server's answer without a length is reset on the way."""

import os
import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent / "common-2"))
import wr  # noqa: E402

WHOLE = b"the whole answer of the server: line %d\n"
LINES = 2000
# At most max_body_bytes, 4,194,304. It must be more than the buffers of the
# kernel hold, so that the gateway is still sending when the reset comes.
BODY_BYTES = int(os.environ.get("BODY_BYTES", 4_190_000))


class EarlyRunner(wr.Runner):
    """Answers before it has read a long body, without a length, and its
    connection is reset in the middle of the answer."""

    reset = True

    def answer(self, link, reader, method, path, headers):
        request = headers.get("wisteriaroute-request-id", "")
        self.runs.append(request)
        self.record(f"server {self.id} runs {request}")
        whole = b"".join(WHOLE % n for n in range(LINES))
        part = whole[:len(whole) // 2]
        link.sendall(self.head(200, headers, {
            "Wisteriaroute-Response-Seal": f"{self.id}.{request}",
            "Connection": "close"}) + part)
        time.sleep(0.3)
        if self.reset:
            self.record(f"the answer to {request} is reset after "
                        f"{len(part)} of {len(whole)} bytes")
            # Closed with unread input, as by a crash: that resets it.
            raise OSError("reset")
        # Reads on, sends the rest and closes in order.
        reader.read(int(headers["content-length"]))
        link.sendall(whole[len(part):])
        raise OSError("closed")


def play(system, record):
    system.three_controls()
    controls = [f"{system.ip(n)}:{wr.CONTROL}" for n in (1, 2, 3)]
    config = wr.configuration(
        7, [wr.route("pay", "/pay/", "unsafe", "orders")],
        [wr.service("orders")])
    if wr.ask_control(controls, "POST", "/configuration/put", config)[0] != 200:
        raise RuntimeError("the configuration wasn't acknowledged")
    system.start(system.add("gateway", 11, "zone-a"))
    runner = EarlyRunner(record, controls, "orders", "i-7f3a91c2",
                         f"{system.ip(21)}:{wr.APP}", "zone-a")
    runner.reset = wr.TROUBLE
    runner.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
    runner.begin_beats()
    wr.wait_for("ready gateway", 10, lambda: wr.ready(system, 11))
    whole = b"".join(WHOLE % n for n in range(LINES))
    broken = False
    for number in range(10):
        request = f"9c41d07be2a3{number:04x}"
        link = wr.Connection(f"{system.ip(11)}:{wr.FRONT}")
        try:
            link.send("POST", "/pay/2f", wr.headers_of(request),
                      b"x" * BODY_BYTES)
            status, headers, body = link.receive()
            seal = headers.get("wisteriaroute-response-seal", "none")
            record(f"the client gets {status} for {request}, seal {seal}, "
                   f"{len(body)} bytes, complete")
            if 200 <= status < 300 and body != whole:
                record("a success whose body isn't the server's whole body")
                broken = True
        except (OSError, EOFError) as error:
            record(f"the client gets no complete answer for {request}: "
                   f"{error}")
        finally:
            link.close()
        time.sleep(0.2)
    return broken


wr.main(HERE, play)
