"""Stand-ins for the scripts of cases 4 to 8: the platform's store, servers and clients, on loopback, and entry hosts
as separate processes, started as the deploy file says with settings filled from its template. Python 3 alone."""
import asyncio, base64, json, os, re, signal, time, random, sys, socket

def now(): return time.monotonic()

# ---------------------------------------------------------------- plain HTTP/1.1
async def read_head(r):
    data = await r.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1); headers[k.strip().lower()] = v.strip()
    return lines[0], headers

async def read_body(r, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        out = b""
        while True:
            n = int((await r.readline()).split(b";")[0], 16)
            part = await r.readexactly(n + 2)
            if n == 0: return out
            out += part[:n]
    n = int(headers.get("content-length", 0))
    return await r.readexactly(n) if n else b""

def answer(status, headers=None, body=b"", reason="X"):
    h = {"content-length": str(len(body)), **(headers or {})}
    return (f"HTTP/1.1 {status} {reason}\r\n" + "".join(f"{k}: {v}\r\n" for k, v in h.items()) + "\r\n").encode() + body

def q(path):
    from urllib.parse import urlsplit, parse_qsl
    u = urlsplit(path)
    return u.path, dict(parse_qsl(u.query, keep_blank_values=True))

# ---------------------------------------------------------------- the store
class Store:
    def __init__(self):
        self.ver = 100; self.rows = {}; self.log = []; self.changed = asyncio.Event(); self.down = None; self.calls = 0
    def put(self, table, key, value):
        self.ver += 1
        row = dict(table=table, part="", privateKey=key, value=base64.b64encode(json.dumps(value).encode() if not isinstance(value, bytes) else value).decode(), ver=self.ver)
        self.rows[(table, key)] = row; self.log.append((self.ver, table, row)); self._wake(); return self.ver
    def put_raw(self, table, key, b64):
        self.ver += 1
        row = dict(table=table, part="", privateKey=key, value=b64, ver=self.ver)
        self.rows[(table, key)] = row; self.log.append((self.ver, table, row)); self._wake()
    def remove(self, table, key):
        if (table, key) in self.rows:
            self.ver += 1; del self.rows[(table, key)]
            self.log.append((self.ver, table, dict(table=table, part="", privateKey=key, ver=self.ver, gone=True))); self._wake()
    async def server_write(self, key, value, late_s=None):
        """A write of a server to its own entry. With `late_s` the call gets no answer and is done that much later."""
        if late_s is not None:
            asyncio.get_running_loop().call_later(late_s, self.put, "servers", key, value)
            await asyncio.sleep(1.0)
            return None
        await asyncio.sleep(0.004)
        return self.put("servers", key, value)
    def _wake(self):
        e, self.changed = self.changed, asyncio.Event(); e.set()
    async def serve(self, host, port):
        self.server = await asyncio.start_server(self.handle, host, port); return self
    async def handle(self, r, w):
        try:
            while True:
                line, h = await read_head(r); body = await read_body(r, h)
                method, path, _ = line.split(" ")
                self.calls += 1
                if self.down == "silent":
                    await asyncio.sleep(3600)
                p, a = q(path)
                if p == "/api/rows-get":
                    rows = sorted([x for (t, k), x in self.rows.items() if t == a["table"] and k.encode() >= a.get("from", "").encode()], key=lambda x: x["privateKey"].encode())
                    n = int(a.get("limit", 500))
                    out = dict(rows=rows[:n], more=len(rows) > n, ver=self.ver, now_ms=int(now() * 1000))
                elif p == "/api/rows-feed":
                    after = int(a["after"]); end = now() + int(a.get("waitMs", 0)) / 1000
                    while True:
                        rows = {}
                        for v, t, row in self.log:
                            if v > after and t == a["table"]: rows[row["privateKey"]] = row
                        rest = end - now()
                        if rows or rest <= 0: break
                        try: await asyncio.wait_for(asyncio.shield(self.changed.wait()), rest)
                        except asyncio.TimeoutError: pass
                    out = dict(rows=sorted(rows.values(), key=lambda x: x["ver"]), ver=self.ver, now_ms=int(now() * 1000))
                elif p == "/api/rows-tx":
                    c = json.loads(body)
                    bad = [e for e in c.get("expectedRevision", []) if self.rows.get((e["table"], e["privateKey"]), {"ver": 0})["ver"] != e["ver"]]
                    if bad:
                        w.write(answer(412, {"content-type": "application/json"}, json.dumps(dict(rows=[])).encode())); await w.drain(); continue
                    for e in c.get("put", []): self.put_raw(e["table"], e["privateKey"], e["value"])
                    for e in c.get("remove", []): self.remove(e["table"], e["privateKey"])
                    out = dict(ver=self.ver)
                else:
                    w.write(answer(404)); await w.drain(); continue
                await asyncio.sleep(0.004)
                w.write(answer(200, {"content-type": "application/json"}, json.dumps(out).encode())); await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError): pass
        finally: w.close()

# ---------------------------------------------------------------- servers
class Server:
    def __init__(self, store, sid, service, host, port, zone, work=0.05, slots=6, body=b"ok" * 50, advertise=None, record=None):
        self.__dict__.update(store=store, sid=sid, service=service, host=host, port=port, zone=zone, work=work, slots=slots, body=body)
        self.adv = advertise or f"{host}:{port}"; self.seq = 0; self.state = "ready"; self.cold = 0; self.runs = []; self.record = record; self.busy = 0; self.beat_task = None
    def entry(self):
        self.seq += 1
        return dict(service=self.service, address=self.adv, zone=self.zone, version="v1", slots=self.slots, state=self.state, coldRemainingMs=self.cold, sequenceNumber=self.seq)
    async def write(self, late_s=None):
        if self.record: self.record(f"server {self.sid} writes {self.state}, sequenceNumber {self.seq + 1}" + (f", gets no answer; the store does it {late_s} s later" if late_s else ""))
        return await self.store.server_write(self.sid, self.entry(), late_s)
    async def start(self):
        self.server = await asyncio.start_server(self.handle, self.host, self.port)
        await self.write(); self.beat_from(now()); return self
    def beat_from(self, at):
        """Heartbeats each 1.5 s from a moment on."""
        if self.beat_task: self.beat_task.cancel()
        self.beat_task = asyncio.create_task(self.beats(at))
    async def beats(self, at):
        while True:
            at += 1.5
            await asyncio.sleep(max(0, at - now()))
            await self.write()
    async def handle(self, r, w):
        try:
            while True:
                line, h = await read_head(r); body = await read_body(r, h)
                rid = h.get("elmstream-attempt-id", "")
                if h.get("elmstream-expected-instance", self.sid) != self.sid:
                    w.write(answer(421, {"elmstream-attempt-id": rid, "elmstream-not-executed": "1"})); await w.drain(); continue
                self.runs.append((now(), rid, line)); 
                if self.record: self.record(f"server {self.sid} runs {rid} {line}")
                self.busy += 1
                try: await asyncio.sleep(self.work)
                finally: self.busy -= 1
                w.write(answer(200, {"elmstream-attempt-id": rid, "elmstream-response-signature": f"{self.sid}.{rid}", "elmstream-instance-load": f"{self.busy},0,{self.slots}"}, self.body)); await w.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError): pass
        finally: w.close()

# ---------------------------------------------------------------- hosts
BOUNDS = dict(configApplyMs=2000, gracePeriodS=6, retryBudgetRatio=0.2, retryBudgetSlack=64, coldOvershoot=1.5, coldSlack=5)
def render(root, fields):
    text = open(os.path.join(root, "deploy/settings.json")).read()
    def get(path, ctx):
        cur = ctx
        for part in path.split("."):
            if isinstance(cur, list): cur = cur[int(part)] if int(part) < len(cur) else None
            elif isinstance(cur, dict): cur = cur.get(part)
            else: return None
        return cur
    def section(m):
        v = get(m.group(1), fields)
        return m.group(2).replace("{{.}}", json.dumps(v)) if v is not None and v is not False else ""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    def gap(m):
        name, as_json = m.group(1), m.group(2)
        v = get(name, fields)
        return json.dumps(v) if as_json else ("" if v is None else str(v))
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", gap, text)

class Host:
    def __init__(self, root, folder, name, ip, zone, region, zones, store, seeds, base=7540, memory=260):
        self.root, self.folder, self.name, self.ip = root, folder, name, ip
        self.front, self.ready, self.directory = (ip, 8548), (ip, 8542), (ip, 8546)
        self.fields = dict(nodeName=name, zone=zone, region=region, ipAddress=ip, zones=zones, internalPortRange=[base, base + 15],
            listen=dict(front=f"{ip}:8548", ready=f"{ip}:8542", directory=f"{ip}:8546", control=f"{ip}:8544"),
            seedNodes=seeds, platform=dict(address=store), bounds=dict(BOUNDS), limits=dict(memoryMb=memory, fileDescriptors=4100))
        self.proc = None
    def write(self):
        self.path = os.path.join(self.folder, self.name + ".json"); open(self.path, "w").write(render(self.root, self.fields))
    async def start(self):
        self.write(); self.out = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.proc = await asyncio.create_subprocess_exec(os.path.join(self.root, "target/release/elmstream-platform"), cwd=self.root,
            env={"PATH": os.environ.get("PATH", ""), "ELMSTREAM_CONFIG": self.path}, stdout=self.out, stderr=self.out)
        return self
    async def is_ready(self):
        try:
            r, w = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            w.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); line, h = await asyncio.wait_for(read_head(r), 1); w.close()
            return " 200 " in line
        except Exception: return False
    async def wait_ready(self, timeout=15):
        end = now() + timeout
        while now() < end:
            if await self.is_ready(): return True
            await asyncio.sleep(0.1)
        return False
    def signal(self, s): self.proc.send_signal(s)
    async def end(self):
        if self.proc and self.proc.returncode is None:
            try: self.proc.kill()
            except ProcessLookupError: pass
            await self.proc.wait()

# ---------------------------------------------------------------- clients
async def request(addr, method, path, rid, deadline_ms=3000, body=b"", key="1", host="shop.example", conn=None, keep=False, timeout=None, extra=""):
    """Returns (status, headers, body) or ('closed'|'timeout'|'refused', ...), and the connection if kept."""
    try:
        r, w = conn or await asyncio.wait_for(asyncio.open_connection(*addr), 1)
    except Exception as e: return "refused", {}, repr(e).encode(), None
    try:
        w.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nElmstream-Attempt-Id: {rid}\r\nElmstream-Affinity-Key: {key}\r\nElmstream-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body)
        await w.drain()
        line, h = await asyncio.wait_for(read_head(r), timeout or deadline_ms / 1000)
        b = await asyncio.wait_for(read_body(r, h), 5)
        if keep and "close" not in h.get("connection", ""): return int(line.split()[1]), h, b, (r, w)
        w.close(); return int(line.split()[1]), h, b, None
    except asyncio.TimeoutError: w.close(); return "timeout", {}, b"", None
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as e: w.close(); return "closed", {}, repr(e).encode(), None

def free_net():
    """First three numbers of loopback addresses on which the deployment's ports are free."""
    for _ in range(100):
        net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        try:
            for last in (1, 11, 12, 13):
                for port in (8541, 8542, 8546, 8548, 9464, 7540):
                    s = socket.socket(); s.bind((f"{net}.{last}", port)); s.close()
            return net
        except OSError: continue
    raise SystemExit(2)

ZONES = {"za": "ra", "zb": "ra", "zc": "rb", "zd": "rb"}
def config(version, routes=None, services=None, **more):
    return dict(version="%08x" % version, routes=routes or [
        dict(name="read", host="shop.example", pathPrefix="/read/", kind="safe", timeoutMs=800, targetLatencyMs=300, priority=2, service="reads", attempts=2, stickySessions=True),
        dict(name="order", host="shop.example", pathPrefix="/order/", kind="unsafe", timeoutMs=1000, targetLatencyMs=400, priority=1, service="orders", attempts=2, stickySessions=True),
        dict(name="upload", host="shop.example", pathPrefix="/upload/", kind="upload", timeoutMs=3000, targetLatencyMs=400, priority=1, service="uploads", attempts=2)],
        services=services or [dict(name=n, coldStartS=3.0, coldPerS=9.0, healthCheckPath="/health") for n in ("reads", "orders", "uploads")],
        limits=dict(maxHeaderBytes=16384, maxBodyBytes=4194304, headerTimeoutMs=5000, idleTimeoutMs=10000), **more)
