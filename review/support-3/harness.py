"""Starts a small deployment of the platform's program for the scripts of review/11 to review/15.

Uses the project's own stand-ins in tests/platform: platform_fleet.py starts the processes on loopback addresses,
simulated_upstreams.py plays the runners. A script ends with passed(), failed() or could_not_run().
"""
import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import time
import types

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

import platform_fleet  # noqa: E402
from platform_fleet import CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, Fleet, Http, publish  # noqa: E402,F401
from simulated_upstreams import CONNECTION_ENDS, Upstream, stop  # noqa: E402,F401

# Each case has loopback addresses of its own, so that cases can run beside each other.
NETWORK = f"127.{100 + int(pathlib.Path(sys.argv[0]).resolve().parent.name)}"
platform_fleet.NETWORK = NETWORK
PROGRAM = ROOT / "target" / "bin" / "lycheereach-platform"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# The limits of an `edge` machine of the sheet of nilecrest-bump.
LIMITS = {"memoryMb": 260, "maxFds": 4100}
CALL_ENDS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


def runner_ip(number):
    return f"{NETWORK}.9.{number}"


class CouldNotRun(Exception):
    pass


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file_ = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started_at_ = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.started_at_:8.3f} {text}"
        print(line, file=self.file_, flush=True)


def service(name, **engine):
    return {"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False,
            "coldStartS": 0.0, "coldPerS": 0.0} | engine


def route(name, kind, of, timeout_ms=8000, attempts=1, **more):
    return {"name": name, "host": "site.example", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
            "sloMs": 400, "priority": 1, "service": of, "maxAttempts": attempts, "public": False, "sticky": False} | more


def manifest(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}}


async def status_of(address, method, path, body=None, timeout=1.0):
    """The status of the answer, or the name of what came instead."""
    try:
        return (await Http.call(address, method, path, body if body is not None else {}, timeout))[0]
    except CALL_ENDS as error:
        return type(error).__name__


async def until(condition, limit, what):
    end = time.monotonic() + limit
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CouldNotRun(f"{what}: not within {limit} s")


async def until_ready(address):
    async def is_ready():
        return await status_of(address, "GET", "/-/ready") == 200
    await until(is_ready, 25, f"{address} ready")


async def quietly(scenario):
    """Leaves out the tracebacks of connections that the stand-ins drop at the end."""
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await scenario


def run(case_folder, scenario, controls=3, entries=1, make_fleet=Fleet):
    """Runs scenario(fleet, record), which returns the sentences that say what broke the rule."""
    record = Record(case_folder)
    record.write(f"TROUBLE={int(HAS_TROUBLE)}")
    if not PROGRAM.exists():
        record.write(f"could not run: {PROGRAM.relative_to(ROOT)} is not built")
        sys.exit(COULD_NOT_RUN)
    with tempfile.TemporaryDirectory() as folder:
        options = types.SimpleNamespace(program=str(PROGRAM), controls=controls, entries=entries, limits=LIMITS,
                                        tolerated=1)
        fleet = make_fleet(options, pathlib.Path(folder))
        try:
            fleet.start()
            breaks = asyncio.run(asyncio.wait_for(quietly(scenario(fleet, record)), 110))
        except (CouldNotRun, asyncio.TimeoutError) as error:
            record.write(f"could not run: {error or 'over 110 s'}")
            sys.exit(COULD_NOT_RUN)
        finally:
            fleet.stop()
    for text in breaks:
        record.write(f"BROKEN: {text}")
    record.write("rule broken" if breaks else "rule held")
    sys.exit(BROKEN if breaks else HELD)
