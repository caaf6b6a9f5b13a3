"""Failures that a runner breaks off halfway."""
import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))
from fleet import BROKEN, HELD, NOT_RUN, TROUBLE, ZONES, Requester, Runner, head, manifest, run, wait_served

ROUNDS = 10
ROUTES = ("book", "look", "once", "talk")


def whole_body(request_id):
    return f"failure of {request_id}: ".encode() + b"no free slot in the ledger; " * 8


async def respond(runner, start, headers, body, reader, writer):
    if "x-plain" in headers:
        writer.write(head(200, headers, 2) + b"ok")
        return True
    failure = whole_body(headers["x-request-id"])
    if not TROUBLE:
        writer.write(head(500, headers, len(failure)) + failure)
        return True
    writer.write(head(500, headers, len(failure)) + failure[:len(failure) // 2])
    await writer.drain()
    return False


async def play(fleet, record):
    runners = [Runner(f"runner-{number}", "app", f"{fleet.network_}.9.{number + 1}", fleet.upstream_port_,
                      ZONES[number], fleet.control_addresses(), respond) for number in range(3)]
    for runner in runners:
        await runner.start()
    await fleet.publish(manifest())
    requester = Requester(*fleet.front(0))
    await wait_served(requester, "/look/1", runners)
    counts, ran = collections.Counter(), 0
    for number in range(ROUNDS):
        for route in ROUTES:
            answer = await requester.send(f"/{route}/{number}")
            runs = sum(runner.ran_.count(answer.request_id_) for runner in runners)
            ran += runs
            sealed = "x-response-seal" in answer.headers_
            short = sealed and answer.complete_ and answer.body_ != whole_body(answer.request_id_)
            counts["short"] += short
            counts["sealed"] += sealed
            record.write(f"{route} {answer.request_id_}: ran {runs} times; {answer}"
                         f"{'; SHORT, but complete in its framing' if short else ''}")
    for runner in runners:
        runner.end()
    record.write(f"{ROUNDS * len(ROUTES)} requests, {counts['sealed']} answers with a runner's seal, {counts['short']} "
                 "of them ended early and look complete")
    if not ran:
        return NOT_RUN
    return BROKEN if counts["short"] else HELD


sys.exit(run(FOLDER, play))
