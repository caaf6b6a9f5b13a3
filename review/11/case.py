"""A zone is lost after two of the three voters have come to stand in it."""
import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-3"))
import harness  # noqa: E402
from harness import CALL_ENDS, CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT, Fleet, Http, Upstream  # noqa: E402

# Settings of the sheet: contactMs 3,000, ackMs 4,000.
CONTACT_S, ACK_S = 3.0, 4.0
# DRAIN: "over contactMs + 3 s before"; "more than three answers".
LONG_OFF_S, ALLOWED = CONTACT_S + 3, 3
RESTART_S, WATCH_S = 3.0, 16.0
SETTLE_S = 8.0


class FiveControls(Fleet):
    """Three control processes, one in each zone, which are the seeds, and two that are added later."""

    FIRST = ((f"{harness.NETWORK}.1.1", "zone-a"), (f"{harness.NETWORK}.2.1", "zone-b"), (f"{harness.NETWORK}.3.1", "zone-c"))
    ADDED = ((f"{harness.NETWORK}.1.2", "zone-a"), (f"{harness.NETWORK}.2.2", "zone-b"))

    def start(self):
        self.controls_ = [ip for ip, zone in self.FIRST]
        super().start()

    def add(self):
        for number, (ip, zone) in enumerate(self.ADDED, start=3):
            self.spawn("control", f"control-{number}", ip, zone, bootstrap=False)

    def roll(self, name):
        """SIGTERM, as for planned work; the process ends by itself."""
        process = self.processes_.pop(name)
        process.send_signal(signal.SIGTERM)
        process.wait(10)


def zone_of_two_voters(fleet, record):
    """The zone in which two of the three voters stand, by the log of a process that runs all the while."""
    log = (fleet.folder_ / "control-1.log").read_text(encoding="utf-8")
    voters = [line.split("reason=")[-1] for line in log.splitlines() if "voters-changed" in line][-1]
    record.write(f"voters: {voters}")
    return next((zone for zone, number in (("a", 1), ("b", 2)) if voters.count(f"{harness.NETWORK}.{number}.") == 2), None)


class Desk(Upstream):
    async def respond(self, headers, writer):
        self.write(writer, 200, f"X-Request-Id: {headers['x-request-id']}\r\nX-Response-Seal: s\r\n", b"ok")


async def request(address, name):
    try:
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        with contextlib.closing(writer):
            writer.write(f"GET /book/a HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: {name}\r\n"
                         "X-Deadline-Ms: 1500\r\n\r\n".encode())
            return int((await asyncio.wait_for(Http.readWhole(reader), 1.5))[0].split()[1])
    except CALL_ENDS as error:
        return type(error).__name__


async def scenario(fleet, record):
    manifest = [harness.manifest(version, [harness.route("book", "safe", "desk", timeout_ms=1500 + version, attempts=2)],
                                 [harness.service("desk")]) for version in (1, 2, 3)]
    desk = Desk("desk", "desk", harness.runner_ip(2), "zone-b", [f"{ip}:{CONTROL_PORT}" for ip in fleet.controls_])
    task = asyncio.create_task(desk.run())
    await harness.publish(fleet.controls_, manifest[0])
    entries = [fleet.entry(number) for number in range(3)]
    for entry in entries:
        await harness.until_ready(f"{entry}:{READY_PORT}")
    await asyncio.sleep(4)

    record.write("planned: two machines of the core are added, in zone-a and zone-b")
    fleet.add()
    await asyncio.sleep(SETTLE_S)
    record.write(f"planned: SIGTERM to the control process in zone-c, which starts again {RESTART_S} s later")
    fleet.roll("control-2")
    await asyncio.sleep(RESTART_S)
    fleet.spawn("control", "control-2", f"{harness.NETWORK}.3.1", "zone-c", bootstrap=False)
    await asyncio.sleep(SETTLE_S)

    zone = zone_of_two_voters(fleet, record)
    if zone is None:
        raise harness.CouldNotRun("no zone has two voters")
    lost = harness.HAS_TROUBLE
    index = "ab".index(zone)
    if lost:
        record.write(f"zone-{zone} is lost: 2 of 5 machines of the core and 1 of 3 entries")
        for name in (f"control-{index}", f"control-{index + 3}", f"entry-{index}"):
            fleet.kill(name)
    lost_at = time.monotonic()
    gone = f"{entries.pop(index)}:{FRONT_PORT}"
    machines = FiveControls.FIRST + FiveControls.ADDED
    operators = [ip for ip, where in machines if where != f"zone-{zone}"]
    named, acked, statuses, number, next_put = 0, None, {}, 0, LONG_OFF_S
    while time.monotonic() - lost_at < WATCH_S:
        number += 1
        age = time.monotonic() - lost_at
        entry = entries[number % 2]
        with contextlib.suppress(*CALL_ENDS, ValueError):
            status, answer = await Http.call(f"{entry}:{DIRECTORY_PORT}",
                                             "GET", "/-/resolve?name=site.example&region=region&zone=zone-b", {}, 1)
            if lost and status == 200 and age > LONG_OFF_S and gone in json.loads(answer)["addresses"]:
                named += 1
                if named <= ALLOWED + 1:
                    record.write(f"{age:.1f} s after its end the directory of {entry} names {gone}")
        outcome = await request(f"{entry}:{FRONT_PORT}", f"r{number}")
        statuses[outcome] = statuses.get(outcome, 0) + 1
        if acked is None and age > next_put:
            next_put = age + 1
            status = await harness.status_of(f"{operators[number % 3]}:{CONTROL_PORT}", "PUT", "/-/config", manifest[1], 1)
            record.write(f"{age:.1f} s: the operator sends version 2 to {operators[number % 3]}: {status}")
            acked = age if status == 200 else None
        await asyncio.sleep(0.1)
    record.write(f"requests at the entries that run, by outcome: {statuses}")
    record.write(f"answers of the directory that name {gone} over {LONG_OFF_S} s after its end: {named}")
    await harness.stop([desk], [task])
    breaks = []
    if named > ALLOWED:
        breaks.append(f"DRAIN: {named} answers of the directory name a machine that ended over {LONG_OFF_S} s before")
    if acked is None or acked > LONG_OFF_S + ACK_S:
        breaks.append(f"Acks: a valid manifest has no confirmation after {ACK_S} s, with 3 of 5 machines of the core running")
    return breaks


harness.run(FOLDER, scenario, controls=3, entries=3, make_fleet=FiveControls)
