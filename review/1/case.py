"""The leading control process is lost for good, and an empty one starts at another address. When that one counts as
caught up, another control process loses its disk. Then the manifest that was acknowledged is read back."""
import asyncio
import json
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from fleet import BOUNDS, Operator, Requester, Runner, call, finish, main, manifest, plain_service, safe_route, trouble

SERVICE = "bookings"
SUCCESSOR_AFTER_S = 1.0
MARGIN_S = 1.0


async def read_back(fleet, record, for_s):
    """The version of the manifest that a read gives, asked at all nodes in turn; None when it doesn't come."""
    end = time.monotonic() + for_s
    while time.monotonic() < end:
        for name, ip in fleet.controls_.items():
            try:
                status, _, body = await call(f"{ip}:8229", "GET", "/-/config")
                record.line(f"operator GET /-/config at {name}: {status}")
                if status == 200:
                    return json.loads(body)["version"]
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                record.line(f"operator GET /-/config at {name}: no answer ({type(error).__name__})")
            await asyncio.sleep(0.3)
    return None


async def case(fleet, record):
    operator = Operator(fleet, record)
    await asyncio.sleep(1)
    services, routes = [plain_service(SERVICE)], [safe_route(SERVICE)]
    await operator.order("PUT", "/-/config", list(fleet.controls_), manifest(1, services, routes), within=10)
    runners = [Runner(fleet, record, number, SERVICE) for number in range(6)]
    tasks = [await runner.start() for runner in runners]
    await fleet.ready()
    requesters = [Requester(fleet, record, f"q{number}", "/lookup/plot", 0.2) for number in range(3)]
    tasks += [asyncio.create_task(requester.run()) for requester in requesters]
    await asyncio.sleep(5)
    await operator.order("PUT", "/-/config", list(fleet.controls_), manifest(2, services, routes))

    if trouble():
        leader = await fleet.leader()
        fleet.signal(leader, signal.SIGKILL)
        await asyncio.sleep(SUCCESSOR_AFTER_S)
        successor = fleet.replace_control(leader)
        await asyncio.sleep(BOUNDS["catchUpS"] + MARGIN_S)
        fleet.wipe_control(random.choice([name for name in fleet.controls_ if name != successor]))
    await asyncio.sleep(BOUNDS["catchUpS"] + BOUNDS["recoveryS"])
    sent = [requester.sent_ for requester in requesters]
    version = await read_back(fleet, record, 10.0)
    await asyncio.sleep(5)
    for task in tasks:
        task.cancel()
    last = [status for requester, number in zip(requesters, sent)
            for name, status in requester.answers_.items() if int(name.split("-")[1]) > number]
    served = sum(status == 200 for status in last)
    record.line(f"read back: version {version}, 2 was acknowledged; {served} of the last {len(last)} requests served")
    print(f"CONFIG: read back: {'no manifest' if version is None else f'version {version}'}, version 2 was acknowledged; "
          f"{served} of the last {len(last)} requests served")
    return version == 2


finish(main(case, pathlib.Path(__file__).resolve().parent))
