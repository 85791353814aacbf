"""Stand-ins for the review's scripts: store, backend servers, callers, and entry hosts as processes.

They speak what the users' pages say, over loopback addresses and on the real clock. Only the standard
library is used.
"""

import asyncio
import base64
import collections
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "elmstream-platform")
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected", 503: "Busy"}


class CannotRun(Exception):
    """The script could not bring the case about."""


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")


async def read_message(reader):
    """First line, headers by lower-case name, and body of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = dict((k.strip().lower(), v.strip()) for k, v in (line.split(":", 1) for line in lines if line))
    try:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def answer_bytes(status, headers, body):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves HTTP/1.1; `handle(method, path, headers, body)` returns status, headers and body."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self.connection, address, 0, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        return self.address

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ")
                writer.write(answer_bytes(*await self.handle(method, path, headers, body)))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Takes no more connections and resets the open ones."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store: rows by table and key, with one counter, and a feed of changes."""

    def __init__(self, record):
        self.record, self.ver, self.rows = record, 0, {}
        self.changed = asyncio.Condition()
        self.http = HttpServer(self.handle)

    async def put(self, table, key, value):
        await self.change([(table, key, json.dumps(value).encode())])

    async def remove(self, table, key):
        await self.change([(table, key, None)])

    async def change(self, entries):
        async with self.changed:
            self.ver += 1
            for table, key, value in entries:
                self.rows[table, key] = (value, self.ver)
            self.changed.notify_all()

    def listed(self, table, after=0, gone=False):
        rows = []
        for (of_table, key), (value, ver) in self.rows.items():
            if of_table == table and ver > after and (gone or value is not None):
                row = {"privateKey": key, "ver": ver}
                row.update({"gone": True} if value is None else {"value": base64.b64encode(value).decode()})
                rows.append(row)
        rows.sort(key=lambda row: row["ver"] if gone else row["privateKey"])
        return rows

    async def handle(self, method, path, headers, body):
        path, _, query = path.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        await asyncio.sleep(0.004)
        if path.endswith("-tx"):
            return await self.transact(json.loads(body))
        rows = []
        if path.endswith("-get"):
            rows = self.listed(fields["table"])
        elif path.endswith("-feed"):
            after = int(fields["after"])
            until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
            while not (rows := self.listed(fields["table"], after, True)) and time.monotonic() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
        else:
            return 404, {}, b""
        return self.reply(200, {"rows": rows, "more": False})

    async def transact(self, call):
        for expected in call.get("expectedRevision", []):
            value, ver = self.rows.get((expected["table"], expected["privateKey"]), (None, 0))
            if expected["ver"] != (0 if value is None else ver):
                return self.reply(412, {"rows": []})
        entries = [(e["table"], e["privateKey"], base64.b64decode(e["value"])) for e in call.get("put", [])]
        entries += [(e["table"], e["privateKey"], None) for e in call.get("remove", [])]
        await self.change(entries)
        return self.reply(200, {})

    def reply(self, status, content):
        content = dict(content, ver=self.ver, now_ms=int(time.monotonic() * 1000))
        return status, {"content-type": "application/json"}, json.dumps(content).encode()


class Backend:
    """A backend server with slots and a queue; it keeps itself in the store."""

    def __init__(self, record, store, ident, service, zone, slots=6, queue=18, work_ms=200):
        self.record, self.store, self.ident = record, store, ident
        self.service, self.zone, self.slots, self.queue, self.work_ms = service, zone, slots, queue, work_ms
        self.running = asyncio.Semaphore(slots)
        self.held, self.cold_until, self.beats, self.listed = 0, 0.0, 0, True
        self.arrivals, self.ran = [], collections.Counter()
        self.http = HttpServer(self.handle)

    async def start(self, address):
        await self.http.start(address)
        await self.write_entry()
        self.beating = asyncio.create_task(self.beat())

    async def write_entry(self):
        self.beats += 1
        cold_ms = max(0, int((self.cold_until - time.monotonic()) * 1000))
        entry = {"service": self.service, "address": self.http.address, "zone": self.zone, "version": "v1",
                 "slots": self.slots, "state": "ready", "coldRemainingMs": cold_ms, "sequenceNumber": self.beats}
        await self.store.put("servers", self.ident, entry)

    async def beat(self):
        while self.listed:
            await asyncio.sleep(1.5)
            if self.listed:
                await self.write_entry()

    async def leave_unsaid(self):
        """The entry goes without the word `draining`; the server serves on. Returns when the store took it."""
        self.listed = False
        await self.store.remove("servers", self.ident)
        return self.record.now()

    def end(self):
        self.record.write(f"server {self.ident} ends, holding {self.held} requests")
        self.http.end()

    async def handle(self, method, path, headers, body):
        request = headers.get("elmstream-attempt-id", "")
        common = {"Elmstream-Attempt-Id": request, "Elmstream-Instance-Load": f"{min(self.held, self.slots)},"
                  f"{max(0, self.held - self.slots)},{self.slots}", "Keep-Alive": "timeout=10"}
        if headers.get("elmstream-expected-instance") != self.ident:
            return 421, common, b""
        self.arrivals.append((self.record.now(), request, headers))
        self.record.write(f"server {self.ident} gets {request}")
        if self.held >= self.slots + self.queue:
            return 503, dict(common, **{"Elmstream-Not-Executed": "1"}), b""
        self.held += 1
        try:
            async with self.running:
                self.ran[request] += 1
                self.record.write(f"server {self.ident} runs {request}")
                await asyncio.sleep(self.work_ms / 1000 * (2 if time.monotonic() < self.cold_until else 1))
        finally:
            self.held -= 1
        return 200, dict(common, **{"Elmstream-Response-Signature": f"{self.ident}.{request}"}), b"done"


def render(template, fields):
    """Fills the gaps of the deploy folder's settings template."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)]
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        found = value(match[1])
        return "" if found is None else match[2].replace("{{.}}", json.dumps(found))

    def gap(match):
        found = value(match[1])
        return json.dumps(found) if match[2] or not isinstance(found, str) else found

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)


BOUNDS = {"seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4,
          "drainTimeoutMs": 2000, "gracePeriodS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
          "downgradeSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
          "retryBudgetSlack": 64, "coldOvershoot": 1.5, "coldSlack": 5, "evacuationMs": 5000, "recoveryS": 15,
          "ttl_max_s": 5, "maxShift": 0.15}


class Fleet:
    """Entry hosts as processes, each on a loopback address of its own."""

    def __init__(self, record, store, zones, base, folder):
        self.record, self.store, self.zones, self.base, self.folder = record, store, zones, base, folder
        self.processes, self.hosts = {}, {}
        with socket.socket() as free:
            free.bind((f"{base}.1", 0))
            port = free.getsockname()[1]
        # Ports lie below the range that the system draws from, so that connections do not take them.
        self.port = 10_000 + port % 15_000

    def start(self, name, zone, number):
        with open(os.path.join(ROOT, "deploy", "settings.json")) as file:
            template = file.read()
        address = f"{self.base}.{number}"
        listen = {"front": f"{address}:{self.port}", "ready": f"{address}:{self.port + 1}",
                  "control": f"{address}:{self.port + 2}", "directory": f"{address}:{self.port + 3}"}
        fields = {"nodeName": name, "zone": zone, "region": self.zones[zone], "ipAddress": address,
                  "listen": listen, "zones": self.zones, "limits": {"memoryMb": 260}, "bounds": BOUNDS,
                  "internalPortRange": [self.port + 10, self.port + 25],
                  "seedNodes": [f"{self.base}.{seed}:{self.port + 2}" for seed in (1, 2, 3)],
                  "platform": {"address": self.store.http.address}}
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            file.write(render(template, fields))
        log = open(os.path.join(self.folder, f"{name}.log"), "w")
        environment = {"ELMSTREAM_CONFIG": path, "PATH": os.environ.get("PATH", "")}
        process = subprocess.Popen([PROGRAM], env=environment, cwd=ROOT, stdout=log, stderr=log)
        self.processes[name], self.hosts[name] = process, listen

    async def until_ready(self, seconds=15):
        until = time.monotonic() + seconds
        waiting = set(self.hosts)
        while waiting:
            for name in list(waiting):
                if await get_status(self.hosts[name]["ready"], "/api/readiness") == 200:
                    waiting.discard(name)
            if time.monotonic() > until:
                raise CannotRun(f"not ready: {sorted(waiting)}")
            await asyncio.sleep(0.1)

    def signal(self, name, number):
        self.record.write(f"host {name} gets {signal.Signals(number).name}")
        self.processes[name].send_signal(number)

    def end(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


async def get_status(address, path):
    try:
        status, _, _ = await exchange(address, f"GET {path} HTTP/1.1\r\nhost: x\r\n\r\n".encode(), 1.0)
        return status
    except (OSError, asyncio.TimeoutError, EOFError):
        return None


async def exchange(address, request, seconds):
    """Sends a request over a new connection and returns status, headers and body of the answer."""
    ip, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            writer.write(request)
            message = await read_message(reader)
            if message is None:
                raise EOFError("closed without a whole answer")
            return int(message[0].split(" ")[1]), message[1], message[2]
        finally:
            writer.close()

    return await asyncio.wait_for(run(), seconds)


class Callers:
    """Callers that send at a steady rate to one host, each request over a new connection."""

    def __init__(self, record, host_name, path, method="POST", deadline_ms=3000):
        self.record, self.host_name, self.path = record, host_name, path
        self.method, self.deadline_ms, self.results = method, deadline_ms, {}
        self.tasks = set()

    async def run(self, address, per_s, until):
        while time.monotonic() < until:
            task = asyncio.create_task(self.request(address))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(random.expovariate(per_s))
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=self.deadline_ms / 1000 + 1)

    async def request(self, address):
        ident = "%016x" % random.getrandbits(64)
        head = [f"{self.method} {self.path}{ident[:4]} HTTP/1.1", "Host: shop.example", f"Elmstream-Attempt-Id: {ident}",
                f"Elmstream-Deadline-Ms: {self.deadline_ms}", "Content-Length: 2"]
        self.record.write(f"caller sends {ident} to {self.host_name}")
        try:
            status, headers, _ = await exchange(
                address, ("\r\n".join(head) + "\r\n\r\nhi").encode(), self.deadline_ms / 1000)
            signed = "elmstream-response-signature" in headers
            self.results[ident] = status
            self.record.write(f"caller gets {status} for {ident}{'' if signed else ', not signed'}")
        except (OSError, asyncio.TimeoutError, EOFError) as error:
            self.results[ident] = type(error).__name__
            self.record.write(f"caller gets no answer for {ident}: {type(error).__name__}")


def configuration(services, cold_per_s=9):
    routes = [{"name": f"r-{name}", "host": "shop.example", "pathPrefix": f"/{name}/", "kind": "unsafe",
               "timeoutMs": 1000, "targetLatencyMs": 400, "priority": 1, "service": name, "attempts": 2}
              for name in services]
    return {"version": "0000000c", "routes": routes, "limits": {"maxBodyBytes": 1 << 20, "idleTimeoutMs": 20000},
            "services": [{"name": name, "coldStartS": 3.0, "coldPerS": cold_per_s, "healthCheckPath": "/health"}
                         for name in services]}


def play(folder, scenario):
    """Runs `scenario(record, base, temporary folder, trouble)`, which returns what broke the rule, and ends
    with 1 if the rule was broken, 0 if it held, and 2 if the case could not be brought about."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(PROGRAM):
        print("the program is not built")
        sys.exit(2)
    base = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
    with tempfile.TemporaryDirectory() as temporary:
        try:
            broken = asyncio.run(asyncio.wait_for(scenario(record, base, temporary, trouble), 110))
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            record.write(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            sys.exit(2)
    for line in broken or ["the rule held"]:
        record.write(line)
        print(line)
    sys.exit(1 if broken else 0)
