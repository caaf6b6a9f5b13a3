"""A control process freezes, and the operator's order to take an evacuation back waits in its socket. The operator
gets no answer within a second and sends the order to another process, which acknowledges it. Later the operator
evacuates the zone again; then the frozen process goes on."""
import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from fleet import BOUNDS, Operator, Requester, Runner, finish, main, manifest, plain_service, safe_route, trouble

SERVICE, ZONE = "bookings", "zone-b"
FREEZE_S = 7.0
PATH = f"/-/evacuations/{ZONE}"


async def case(fleet, record):
    operator = Operator(fleet, record)
    controls = list(fleet.controls_)
    await asyncio.sleep(1)
    await operator.order("PUT", "/-/config", controls, manifest(1, [plain_service(SERVICE)], [safe_route(SERVICE)]),
                         within=10)
    runners = [Runner(fleet, record, number, SERVICE) for number in range(6)]
    tasks = [await runner.start() for runner in runners]
    await fleet.ready()
    requesters = [Requester(fleet, record, f"q{number}", "/lookup/plot", 0.15) for number in range(3)]
    tasks += [asyncio.create_task(requester.run()) for requester in requesters]
    await asyncio.sleep(4)
    leader = await fleet.leader()
    followers = [name for name in controls if name != leader]
    frozen = random.choice(followers)
    others = [name for name in controls if name != frozen]
    record.line(f"leader {leader}, to freeze {frozen}")

    await operator.order("POST", PATH, others)
    await asyncio.sleep(8)
    frozen_at = time.monotonic()
    if trouble():
        fleet.signal(frozen, signal.SIGSTOP)
    await asyncio.sleep(0.2)
    sent_at = time.monotonic()
    taken_back_at = await operator.order("DELETE", PATH, [frozen, *others])
    # Longer than ackMs, for which an order may be sent again.
    await asyncio.sleep(max(0.0, sent_at + BOUNDS["ackMs"] / 1000 + 1.0 - time.monotonic()))
    evacuated_at = await operator.order("POST", PATH, others)
    await asyncio.sleep(max(0.0, frozen_at + FREEZE_S - time.monotonic()))
    if trouble():
        fleet.signal(frozen, signal.SIGCONT)
    thawed_at = time.monotonic()
    await asyncio.sleep(BOUNDS["evacuateMs"] / 1000 + BOUNDS["maxStretchMs"] / 1000 + 4)
    for task in tasks:
        task.cancel()

    # The bound with the longest stretch for an unstable core, and only while the core is stable again.
    bound = max(evacuated_at + (BOUNDS["evacuateMs"] + BOUNDS["maxStretchMs"]) / 1000,
                thawed_at + BOUNDS["contactMs"] / 1000)
    in_zone = [(at, request, runner.id_) for runner in runners if runner.zone_ == ZONE for at, request in runner.runs_]
    between = sum(1 for at, _, _ in in_zone if evacuated_at + 1 < at < thawed_at)
    late = [item for item in in_zone if item[0] > bound]
    answered = sum(status == 200 for requester in requesters for status in requester.answers_.values())
    record.line(f"taken back {taken_back_at - record.start_:.3f}, evacuated again {evacuated_at - record.start_:.3f}, "
                f"thawed {thawed_at - record.start_:.3f}, bound {bound - record.start_:.3f}")
    record.line(f"requests in the evacuated zone from 1 s after the evacuation until the thaw: {between}; "
                f"later than the bound: {len(late)}; 200 answers in all: {answered}")
    for name in controls:
        for line in fleet.log(name).splitlines():
            if "zone-taken-out" in line or "zone-brought-in" in line:
                record.line(f"log of {name}: {line}")
    print(f"EVAC: {len(late)} requests reached runners of the evacuated zone later than the bound")
    return not late


finish(main(case, pathlib.Path(__file__).resolve().parent))
