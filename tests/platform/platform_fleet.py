"""A fleet of lycheereach-platform processes on loopback addresses, for tests and measurements."""
import asyncio
import json
import os
import pathlib
import signal
import subprocess

NETWORK = "127.1"
ZONES = ("zone-a", "zone-b", "zone-c")
PEER_PORT, CONTROL_PORT, DIRECTORY_PORT, FRONT_PORT, READY_PORT = 7700, 8229, 8230, 8227, 8220
REPORT_INTERVAL_S = 1.2
UNREAD_PIPE_BYTES = 4096


def settings(name, ip, zone, seeds, data_dir, tolerated, bootstrap, limits):
    listen = (f'control = "{ip}:{CONTROL_PORT}"\ndirectory = "{ip}:{DIRECTORY_PORT}"' if data_dir else
              f'front = "{ip}:{FRONT_PORT}"\nreadiness = "{ip}:{READY_PORT}"\n'
              f'directory = "{ip}:{DIRECTORY_PORT}"')
    lines = [f'nodeName = "{name}"', f'ip = "{ip}"', f'zone = "{zone}"', 'region = "region"',
             f"internalPorts = [{PEER_PORT}, {PEER_PORT + 15}]",
             "seeds = " + json.dumps([f"{seed}:{CONTROL_PORT}" for seed in seeds]),
             f"bootstrap = {json.dumps(bootstrap)}", f"heartbeatMs = {int(REPORT_INTERVAL_S * 1000)}"]
    if data_dir:
        lines.append(f'dataDir = "{data_dir}"')
    lines += ["[zones]"] + [f'{known} = "region"' for known in ZONES]
    lines += ["[limits]"] + [f"{name} = {value}" for name, value in limits.items()]
    return "\n".join(lines + ["[listen]", listen, "[faultTolerance]", f"machines = {tolerated}", ""])


class Http:
    """HTTP messages with a Content-Length, the only form that the simulated engines need."""

    @staticmethod
    async def read(reader):
        head, headers, body = await Http.readWhole(reader)
        return head, body

    @staticmethod
    async def readWhole(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {name.lower(): value for name, value in (line.split(": ", 1) for line in head[1:] if ": " in line)}
        return head[0], headers, await reader.readexactly(int(headers.get("content-length", 0)))

    @staticmethod
    async def exchange(address, method, path, body, timeout=2):
        """Sends a request on a connection of its own; the status, the body and the headers of the answer."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
        try:
            start, headers, answer = await asyncio.wait_for(Http.readWhole(reader), timeout)
        finally:
            writer.close()
        return int(start.split()[1]), answer, headers

    @staticmethod
    async def call(address, method, path, body, timeout=2):
        return (await Http.exchange(address, method, path, body, timeout))[:2]


class Fleet:
    def __init__(self, options, folder):
        self.options_, self.folder_, self.processes_ = options, folder, {}
        self.tolerated_ = getattr(options, "tolerated", 2 if options.controls >= 5 else 1)
        self.controls_ = [f"{NETWORK}.{number % 3 + 1}.{number // 3 + 1}" for number in range(options.controls)]

    def start(self):
        for number, ip in enumerate(self.controls_):
            self.spawn("control", f"control-{number}", ip, ZONES[number % 3])
        for number in range(self.options_.entries):
            self.spawn("entry", f"entry-{number}", self.entry(number), ZONES[number % 3])

    def spawn(self, role, name, ip, zone, seeds=None, bootstrap=True):
        data_dir = self.folder_ / name if role == "control" else None
        if data_dir:
            data_dir.mkdir(exist_ok=True)
        path = self.folder_ / (name + ".toml")
        path.write_text(settings(name, ip, zone, seeds or self.controls_[:3], data_dir, self.tolerated_, bootstrap,
                                 getattr(self.options_, "limits", {})))
        log = open(self.folder_ / (name + ".log"), "a", encoding="utf-8")
        isUnread = getattr(self.options_, "unread_logs", False)
        self.processes_[name] = subprocess.Popen([self.options_.program, role],
                                                 stdout=subprocess.PIPE if isUnread else log, stderr=log,
                                                 pipesize=UNREAD_PIPE_BYTES if isUnread else -1,
                                                 env=dict(os.environ, LYCHEEREACH_CONFIG=str(path)))

    def readiness(self):
        for number in range(self.options_.entries):
            yield f"entry-{number}", f"{self.entry(number)}:{READY_PORT}"

    @staticmethod
    def entry(number):
        return f"{NETWORK}.{number % 3 + 1}.{number // 3 + 20}"

    def cpu_seconds(self):
        used = {}
        for name, process in self.processes_.items():
            threads = pathlib.Path(f"/proc/{process.pid}/task").glob("*/schedstat")
            used[name] = sum(int(thread.read_text().split()[0]) for thread in threads) / 1e9
        return used

    def kill(self, name):
        process = self.processes_.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self):
        for name in list(self.processes_):
            self.kill(name)


async def publish(controls, configuration):
    for attempt in range(40):
        try:
            status, _ = await Http.call(f"{controls[attempt % 3]}:{CONTROL_PORT}", "PUT", "/-/config", configuration)
            if status == 200:
                return
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.2)
    raise SystemExit("the configuration was not accepted")
