"""A machine of control is gone without notice, and another one 1 s later."""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-3"))
from harness import *  # noqa: E402,F403

CATCH_UP_S = 4.0
RECOVERY_S = 12.0
# The successor has had catch_up_s twice before its predecessor goes.
TOGETHER_S = 2 * CATCH_UP_S
GAP_S = float(os.environ.get("GAP_S", "1.0"))
WAIT_S = 45.0


async def leader_ip(system):
    """The replica that the others redirect to, or that answers itself."""
    for ip in system.control_ips:
        answer = await call(f"{ip}:{system.control_port}", "GET", "/configuration/get", redirects=0)
        if answer is not None and answer.status == 307:
            return answer.headers["location"].removeprefix("http://").split(":")[0]
        if answer is not None and answer.status == 200:
            return ip
    raise CouldNotRun("control has no leader")


async def scenario(system):
    document = configuration(3, [route("book", "/orders/", "orders")], [service("orders")])
    answer = await put(system, document)
    if answer is None or answer.status != 200:
        raise CouldNotRun("the first configuration wasn't acknowledged")
    await Runner(system, "orders", "127.13.0.1").start()
    await system.wait_ready()

    # The successor: a new machine at another address, with an empty disk.
    system.control_ips.append("127.11.0.4")
    successor = system._control(3, bootstrap=False, tolerated=1)
    system.controls.append(successor)
    successor.start()
    await asyncio.sleep(TOGETHER_S)
    newer = configuration(4, document["routes"], document["services"])
    answer = await put(system, newer)
    if answer is None or answer.status != 200:
        raise CouldNotRun("version 4 wasn't acknowledged")

    leader = await leader_ip(system)
    old = [one for one, ip in zip(system.controls[:3], system.control_ips)
           if ip != leader]
    if len(old) < 2:
        raise CouldNotRun("the leader isn't one of the first three")
    gone, next_lost = old[0], old[1]
    gone.signal(signal.SIGKILL)
    gone.wait()
    system.record(f"{gone.name} is gone for good; its successor has run for {TOGETHER_S:.0f} s")
    if TROUBLE:
        await asyncio.sleep(GAP_S)
        next_lost.signal(signal.SIGKILL)
        next_lost.wait()
        system.record(f"{next_lost.name} is lost {GAP_S:.2f} s later; "
                      f"two sound replicas and their disks are left")

    end = time.monotonic() + WAIT_S
    lost_at = time.monotonic()
    while time.monotonic() < end:
        answer = await call_any(system, "GET", "/configuration/get", seconds=3.0)
        if answer is not None and answer.status == 200:
            version = json.loads(answer.body).get("version")
            system.record(f"operator reads version {version}, "
                          f"{time.monotonic() - lost_at:.1f} s after the last loss")
            return HELD if version == 4 else BROKEN
        system.record("operator: no replica answers the read but with 503 or not at all")
        await asyncio.sleep(1.0)
    system.record(f"the configuration wasn't read within {WAIT_S:.0f} s of the last loss")
    return BROKEN


main(__file__, scenario)
