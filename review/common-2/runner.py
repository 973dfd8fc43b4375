"""A server of a plain service as a process of its own.

Arguments: id, service, address, zone, file for what it gets, addresses of
control. A request whose body holds DEADLY ends the process as it begins to run.
"""

import os
import sys
import threading
import time

sys.dont_write_bytecode = True
import wr  # noqa: E402

DEADLY = b"deadly"


class Server(wr.Runner):
    def answer(self, link, reader, method, path, headers):
        body = reader.read(int(headers.get("content-length", "0")))
        request = headers.get("wisteriaroute-request-id", "")
        if headers.get("wisteriaroute-expect-instance", self.id) != self.id:
            link.sendall(self.head(421, headers, {
                "Wisteriaroute-Not-Executed": "1", "At-Server": self.id,
                "Content-Length": 0}))
            return
        self.record(f"{time.monotonic()} {request} "
                    f"{'deadly' if DEADLY in body else 'sound'}")
        if DEADLY in body:
            os._exit(42)
        time.sleep(self.work_s)
        answer = f"{self.id} ran {request}".encode()
        link.sendall(self.head(200, headers, {
            "Wisteriaroute-Response-Seal": f"{self.id}.{request}",
            "Wisteriaroute-Server-Load": f"1,0,{self.slots}",
            "Content-Length": len(answer)}) + answer)


def main():
    runner_id, service, address, zone, file = sys.argv[1:6]
    lock = threading.Lock()
    out = open(file, "a")

    def note(text):
        with lock:
            out.write(text + "\n")
            out.flush()

    Server(note, sys.argv[6:], service, runner_id, address, zone).begin_beats()
    while True:
        time.sleep(60)


main()
