"""Streams are sent while two runners crash shortly one after the other, again and again. A stream that the requester
gets as complete must hold all its pieces, in order and once."""
import asyncio
import pathlib
import random
import re
import subprocess
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from fleet import ZONES, Operator, finish, main, manifest, plain_service, read_head, trouble

FOLDER = pathlib.Path(__file__).resolve().parent
RUNNERS, RESTART_S = 12, 3.0
EVENTS = 20
STREAMS_PER_S = 60.0
ROUNDS, ROUND_S, GAP_S = 12, 5.0, 0.3


class Runners:
    def __init__(self, fleet, record, runs):
        self.fleet_, self.record_, self.runs_ = fleet, record, runs
        self.controls_ = ",".join(f"{ip}:8229" for ip in fleet.controls_.values())
        self.boots_, self.processes_ = {}, {}

    def start(self, number):
        boot = self.boots_[number] = self.boots_.get(number, 0) + 1
        address = f"{self.fleet_.network_}.{number % 3 + 1}.{100 + number // 3}:9000"
        self.processes_[number] = subprocess.Popen(
            [sys.executable, "-B", str(FOLDER / "runner.py"), address, f"i-{number}-{boot}", ZONES[number % 3],
             self.controls_, str(self.runs_)])

    async def crash(self, number):
        self.record_.line(f"SIGKILL runner i-{number}-{self.boots_[number]}")
        self.processes_[number].kill()
        self.processes_[number].wait()
        await asyncio.sleep(RESTART_S)
        self.start(number)

    def stop(self):
        for process in self.processes_.values():
            if process.poll() is None:
                process.kill()
            process.wait()


async def read_stream(reader):
    """The status, the body, and whether the answer ended as complete."""
    start, headers = await read_head(reader)
    status, body = int(start.split()[1]), b""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return status, await reader.read(), False
    try:
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return status, body, True
    except (asyncio.IncompleteReadError, ValueError):
        return status, body, False


class Requesters:
    def __init__(self, fleet, record):
        self.entries_, self.record_, self.sent_ = list(fleet.entries_.values()), record, 0
        self.whole_, self.broken_, self.wrong_ = 0, 0, []

    async def send(self):
        self.sent_ += 1
        request = f"r{self.sent_}"
        body = f"request {self.sent_}".encode()
        head = (f"POST /brief/x HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {request}\r\n"
                "Authorization: Token key-1\r\nX-Model: m\r\nX-Token-Usage: 640,100\r\nX-Deadline-Ms: 8000\r\n"
                f"X-Prefix-Hash: 5ab{self.sent_ % 20:x}:40,0f{self.sent_:x}:600\r\n"
                f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n").encode()
        try:
            reader, writer = await asyncio.open_connection(random.choice(self.entries_), 8227)
            writer.write(head + body)
            status, answer, is_complete = await asyncio.wait_for(read_stream(reader), 9)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            status, answer, is_complete = type(error).__name__, b"", False
        pieces = [int(number) for number in re.findall(rb"data: piece (\d+) of " + request.encode() + rb"\n", answer)]
        is_whole = pieces == list(range(1, EVENTS + 1))
        self.record_.line(f"stream {request}: {status}, {len(pieces)} pieces, "
                          f"{'complete' if is_complete else 'broken off'}")
        if status == 200 and is_complete and not is_whole:
            self.wrong_.append((request, pieces))
        elif status == 200 and is_complete:
            self.whole_ += 1
        else:
            self.broken_ += 1

    async def keep_sending(self, seconds):
        tasks, end = [], time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*tasks)


async def case(fleet, record):
    runs = fleet.folder_ / "runs"
    runs.touch()
    route = {"name": "r-brief", "host": "site.example", "pathPrefix": "/brief/", "kind": "streaming", "timeoutMs": 8000,
             "sloMs": 1000, "priority": 1, "service": "pool", "maxAttempts": 2, "public": False, "sticky": True,
             "resumable": True, "gapTargetMs": 250}
    await asyncio.sleep(1)
    await Operator(fleet, record).order("PUT", "/-/config", list(fleet.controls_),
                                        manifest(1, [plain_service("pool")], [route]), within=10)
    runners = Runners(fleet, record, runs)
    requesters = Requesters(fleet, record)
    try:
        for number in range(RUNNERS):
            runners.start(number)
        await fleet.ready()
        await asyncio.sleep(4)
        sending = asyncio.create_task(requesters.keep_sending(4 + ROUNDS * ROUND_S))
        await asyncio.sleep(4)
        restarts = []
        for _ in range(ROUNDS):
            if trouble():
                for number in random.sample(range(RUNNERS), 2):
                    restarts.append(asyncio.create_task(runners.crash(number)))
                    await asyncio.sleep(GAP_S)
            await asyncio.sleep(ROUND_S - 2 * GAP_S)
        await sending
        await asyncio.gather(*restarts)
    finally:
        runners.stop()
    for line in runs.read_text(encoding="utf-8").splitlines():
        at, text = line.split(" ", 1)
        if any(f" {request}" in text + " " for request, _ in requesters.wrong_) and " of " in text:
            record.line(f"runner at {float(at) - record.start_:.3f}: {text}")
    for request, pieces in requesters.wrong_:
        record.line(f"ORDER: {request} ended as complete with the pieces {pieces} of 1 to {EVENTS}")
    record.line(f"{requesters.whole_} whole, {requesters.broken_} broken off or refused, {len(requesters.wrong_)} wrong")
    print(f"ORDER: {len(requesters.wrong_)} streams ended as complete before their last piece; "
          f"{requesters.whole_} whole, {requesters.broken_} broken off or refused")
    if requesters.whole_ < 100:
        return None
    return not requesters.wrong_


finish(main(case, FOLDER))
