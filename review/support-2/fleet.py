"""A small fleet of lycheereach-platform on loopback addresses, for the cases of this review.

The processes are started with the commands of deploy/system.toml and with settings as DEPLOY.md shows them.
"""
import asyncio
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("zone-a", "zone-b", "zone-c")
HEARTBEAT_MS = 1200
CONTACT_MS, DRAIN_MS, GRACE_S, CONFIG_APPLY_MS, EVACUATE_MS = 3000, 2000, 8, 2000, 5000
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def commands():
    """The commands of the deploy file by role."""
    text = (ROOT / "deploy/system.toml").read_text(encoding="utf-8")
    return {role: run.split() for role, run in re.findall(r'\[roles\.(\w+)\]\s+run = "([^"]+)"', text)}


def free_ports(addresses, count):
    """Ports that no process uses on any of the addresses."""
    ports, candidate = [], random.randrange(20000, 29000)
    while len(ports) < count:
        candidate += 1
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, candidate))
        except OSError:
            continue
        ports.append(candidate)
    return ports


class Record:
    def __init__(self, folder):
        self.file_ = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.start_ = time.monotonic()

    def write(self, text):
        line = f"{time.monotonic() - self.start_:8.3f} {text}"
        self.file_.write(line + "\n")
        self.file_.flush()
        print(line, flush=True)


class Fleet:
    """Three control processes and some entries."""

    def __init__(self, record, entries=2, controls=3, link_mbps=1000.0):
        self.record_, self.folder_, self.link_mbps_ = record, tempfile.TemporaryDirectory(), link_mbps
        network = f"127.{random.randrange(20, 120)}"
        self.network_ = network
        self.controls_ = [f"{network}.{number % 3 + 1}.{number // 3 + 1}" for number in range(controls)]
        self.entries_ = [f"{network}.{number % 3 + 1}.{number // 3 + 20}" for number in range(entries)]
        ports = free_ports(self.controls_ + self.entries_, 5)
        self.control_port_, self.directory_port_, self.front_port_, self.ready_port_, self.upstream_port_ = ports
        self.peer_port_ = self.peer_range()
        self.processes_, self.logs_ = {}, {}

    def peer_range(self):
        for base in range(30000 + random.randrange(0, 500) * 16, 45000, 16):
            try:
                for address in self.controls_ + self.entries_:
                    with socket.socket() as probe:
                        probe.bind((address, base))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def settings(self, role, name, ip, number, bootstrap):
        is_control = role == "control"
        listen = (f'control = "{ip}:{self.control_port_}"\ndirectory = "{ip}:{self.directory_port_}"' if is_control else
                  f'front = "{ip}:{self.front_port_}"\nreadiness = "{ip}:{self.ready_port_}"\n'
                  f'directory = "{ip}:{self.directory_port_}"')
        data = pathlib.Path(self.folder_.name) / name
        if is_control:
            data.mkdir(exist_ok=True)
        seeds = json.dumps([f"{seed}:{self.control_port_}" for seed in self.controls_[:3]])
        return f"""nodeName = "{name}"
role = "{role}"
machineClass = "{"core" if is_control else "edge"}"
serves = {json.dumps(["control"] if is_control else ["edge", "directory"])}
ip = "{ip}"
zone = "{ZONES[number % 3]}"
region = "region"
internalPorts = [{self.peer_port_}, {self.peer_port_ + 15}]
seeds = {seeds}
bootstrap = {json.dumps(bootstrap)}
countInTolerance = {json.dumps(is_control)}
discovery = "registration"
entry = "directory"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","gangs"]
configMode = "highest"
{f'dataDir = "{data}"' if is_control else ""}
[zones]
{chr(10).join(f'{zone} = "region"' for zone in ZONES)}
[listen]
{listen}
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4100
linkMbps = {self.link_mbps_}
diskMb = {128 if is_control else 0}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = {CONTACT_MS}
ackMs = 4000
catchUpS = 4
drainMs = {DRAIN_MS}
graceS = {GRACE_S}
lossSlackMs = 200
configApplyMs = {CONFIG_APPLY_MS}
rollbackSlackMs = 250
maxStretchMs = 5000
enforceRevoke = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetExtra = 134
coldFactor = 1.5
coldSlack = 5
evacuateMs = {EVACUATE_MS}
recoveryS = 12
passMs = 120
retryAfterS = 0
stallMs = 5000
requireFencing = false
ceilingWindowS = 5
ceilingFactor = 1.1
ttl_max_s = 5
"""

    def spawn(self, role, number, bootstrap=True):
        name = f"{role}-{number}"
        ip = (self.controls_ if role == "control" else self.entries_)[number]
        path = pathlib.Path(self.folder_.name) / (name + ".toml")
        path.write_text(self.settings(role, name, ip, number, bootstrap), encoding="utf-8")
        log = open(pathlib.Path(self.folder_.name) / (name + ".log"), "a", encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["LYCHEEREACH_CONFIG"] = str(path)
        command = commands()[role]
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is not built")
        self.processes_[name] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, env=environment)
        self.record_.write(f"started {name} at {ip}")

    def start(self):
        for number in range(len(self.controls_)):
            self.spawn("control", number)
        for number in range(len(self.entries_)):
            self.spawn("entry", number)

    def signal(self, name, number):
        self.record_.write(f"signal {signal.Signals(number).name} to {name}")
        self.processes_[name].send_signal(number)

    def front(self, number):
        return self.entries_[number], self.front_port_

    def control_addresses(self):
        return [f"{ip}:{self.control_port_}" for ip in self.controls_]

    def log(self, name):
        return (pathlib.Path(self.folder_.name) / (name + ".log")).read_text(encoding="utf-8", errors="replace")

    def stop(self):
        for process in self.processes_.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.folder_.cleanup()

    async def publish(self, configuration):
        body = json.dumps(configuration).encode()
        for attempt in range(80):
            try:
                status, _, _ = await call(self.controls_[attempt % 3], self.control_port_, "PUT", "/-/config", body)
                if status == 200:
                    self.record_.write(f"manifest {configuration['version']} acknowledged")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun("the manifest was not acknowledged")


class Answer:
    """An answer as a requester reads it; it is complete only as HTTP/1.1 says."""

    def __init__(self):
        self.status_, self.headers_, self.body_, self.complete_ = 0, {}, b"", False

    def __repr__(self):
        return (f"status {self.status_}, seal {self.headers_.get('x-response-seal')}, {len(self.body_)} bytes, "
                f"{'complete' if self.complete_ else 'incomplete'}")


async def read_answer(reader, answer, on_part=None):
    """Fills in the answer; its complete_ stays false when the channel ends too soon."""
    try:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            status = int(head[0].split()[1])
            if status >= 200:
                break
        answer.status_ = status
        answer.headers_ = {name.strip().lower(): value.strip()
                           for name, value in (line.split(":", 1) for line in head[1:] if ":" in line)}
        if "chunked" in answer.headers_.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size)
                await reader.readexactly(2)
                if not size:
                    break
                answer.body_ += part
                if on_part:
                    on_part(part)
        elif "content-length" in answer.headers_:
            length = int(answer.headers_["content-length"])
            while len(answer.body_) < length:
                part = await reader.read(min(65536, length - len(answer.body_)))
                if not part:
                    return answer
                answer.body_ += part
                if on_part:
                    result = on_part(part)
                    if asyncio.iscoroutine(result):
                        await result
        else:
            answer.body_ = await reader.read()
        answer.complete_ = True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return answer


def request_bytes(method, path, headers, body):
    lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(host, port, method, path, body=b"", headers=None, timeout=2.0):
    """One exchange on a channel of its own: status, headers, body."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
    try:
        writer.write(request_bytes(method, path, {"Host": f"{host}:{port}", "Content-Type": "application/json",
                                                  "Connection": "close"} | (headers or {}), body))
        answer = await asyncio.wait_for(read_answer(reader, Answer()), timeout)
    finally:
        writer.close()
    if not answer.complete_:
        raise ConnectionError("the answer is not complete")
    return answer.status_, answer.headers_, answer.body_


class Runner:
    """A plain server of the platform: it reports itself, answers health checks, and hands requests to `respond`."""

    def __init__(self, name, service, host, port, zone, controls, respond, slots=6):
        self.name_, self.service_, self.host_, self.port_, self.zone_ = name, service, host, port, zone
        self.controls_, self.respond_, self.slots_ = controls, respond, slots
        self.id_, self.sequence_, self.born_, self.state_ = f"i-{name}", 0, int(time.time() * 1000), "ready"
        self.ran_, self.writers_, self.tasks_ = [], set(), []
        self.registered_ = asyncio.Event()

    async def start(self):
        self.server_ = await asyncio.start_server(self.serve, self.host_, self.port_, limit=1 << 22)
        self.tasks_.append(asyncio.create_task(self.report_forever()))

    def end(self):
        for task in self.tasks_:
            task.cancel()
        self.server_.close()
        for writer in list(self.writers_):
            writer.transport.abort()

    def report(self):
        return {"service": self.service_, "address": f"{self.host_}:{self.port_}", "zone": self.zone_, "version": "v1",
                "slots": self.slots_, "state": self.state_, "coldRemainingMs": 0, "born": self.born_,
                "sequence": self.sequence_}

    async def report_once(self):
        self.sequence_ += 1
        host, port = self.controls_[self.sequence_ % len(self.controls_)].split(":")
        try:
            status, _, _ = await call(host, int(port), "PUT", "/-/instances/" + self.id_,
                                      json.dumps(self.report()).encode(), timeout=1.0)
            if status == 200:
                self.registered_.set()
                return True
        except (OSError, asyncio.TimeoutError):
            pass
        return False

    async def report_forever(self):
        while True:
            reported = await self.report_once()
            await asyncio.sleep(HEARTBEAT_MS / 1000 if reported else 0.1)

    async def serve(self, reader, writer):
        self.writers_.add(writer)
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                headers = {name.strip().lower(): value.strip()
                           for name, value in (line.split(":", 1) for line in lines[1:] if ":" in line)}
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                if lines[0].startswith("GET /health"):
                    writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.id_}\r\nContent-Length: 0\r\n\r\n".encode())
                elif lines[0].startswith("GET /-/report"):
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
                elif headers.get("x-expect-instance", self.id_) != self.id_:
                    writer.write(f"HTTP/1.1 421 X\r\nX-Request-Id: {headers.get('x-request-id', '')}\r\n"
                                 "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
                else:
                    self.ran_.append(headers.get("x-request-id"))
                    if await self.respond_(self, lines[0], headers, body, reader, writer) is False:
                        break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, RuntimeError, asyncio.CancelledError):
            pass
        finally:
            self.writers_.discard(writer)
            writer.close()


def head(status, request_headers, body_length, extra=""):
    length = "" if body_length is None else f"Content-Length: {body_length}\r\n"
    return (f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_headers.get('x-request-id', '')}\r\n"
            f"X-Response-Seal: {request_headers.get('x-request-id', '')}.seal\r\nContent-Type: text/plain\r\n"
            f"{length}{extra}\r\n").encode()


def manifest(version=7, timeout_ms=1500):
    """One plain service with a route of each kind."""
    def route(name, kind, **more):
        return {"name": name, "host": "site.example", "pathPrefix": f"/{name}/", "kind": kind, "timeoutMs": timeout_ms,
                "sloMs": 100, "priority": 1, "service": "app", "maxAttempts": 2, "public": False,
                "sticky": False} | more
    return {"version": version,
            "routes": [route("book", "unsafe", maxAttempts=1), route("look", "safe"),
                       route("talk", "streaming", resumable=True, gapTargetMs=250),
                       route("once", "streaming", resumable=False, gapTargetMs=250)],
            "services": [{"name": "app", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": False,
                          "coldStartS": 0.0, "coldPerS": 0.0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
            "tenants": [{"name": "tenant-a", "apiKeys": ["key-a"], "priority": 1}]}


class Requester:
    def __init__(self, host, port, deadline_ms=1500):
        self.host_, self.port_, self.deadline_ms_, self.sent_ = host, port, deadline_ms, 0

    async def send(self, path, method="POST", body=b"x", request_id=None, headers=None, timeout=None, on_part=None,
                   receive_buffer=None):
        self.sent_ += 1
        request_id = request_id or f"r{random.getrandbits(48):012x}"
        answer = Answer()
        fields = {"Host": "site.example", "X-Request-Id": request_id, "X-Deadline-Ms": self.deadline_ms_,
                  "Authorization": "Token key-a"} | (headers or {})
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(sock, (self.host_, self.port_))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 16)
        try:
            writer.write(request_bytes(method, path, fields, body))
            await asyncio.wait_for(read_answer(reader, answer, on_part), timeout or self.deadline_ms_ / 1000 + 1)
        except asyncio.TimeoutError:
            pass
        finally:
            writer.close()
        answer.request_id_ = request_id
        return answer


async def wait_served(requester, path, runners, seconds=25, count=3):
    """Waits until the fleet serves."""
    end, row = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        try:
            answer = await requester.send(path, headers={"X-Plain": "1"})
            row = row + 1 if answer.status_ == 200 and answer.complete_ else 0
        except OSError:
            row = 0
        if row >= count:
            return
        await asyncio.sleep(0.2)
    raise CannotRun("the fleet does not serve")


def run(folder, play, entries=2, limit_s=110, link_mbps=1000.0):
    """Plays a case and returns its exit code."""
    record = Record(folder)
    fleet = Fleet(record, entries, link_mbps=link_mbps)
    try:
        fleet.start()
        code = asyncio.run(asyncio.wait_for(play(fleet, record), limit_s))
    except CannotRun as error:
        record.write(f"could not run: {error}")
        code = NOT_RUN
    except asyncio.TimeoutError:
        record.write("could not run: out of time")
        code = NOT_RUN
    except Exception as error:  # An exit code of 1 means that the rule was broken.
        record.write(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        fleet.stop()
    record.write(f"exit {code}")
    return code
