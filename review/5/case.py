"""Case 5: an older write of a server, done late by the store, against the server's leaving."""
import os, sys, tempfile
HERE = os.path.dirname(os.path.abspath(__file__)); sys.path.insert(0, os.path.dirname(HERE))
from standins_2 import *

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROOT = os.path.dirname(os.path.dirname(HERE))
CONTACT_S, DRAIN_S = 3.0, 2.0       # contactMs and drainTimeoutMs of lbt-proto
LATE_S = 5.9                        # "late (done 1 to 6 s later)"

async def main():
    began = now(); lines = []
    def record(text): lines.append(f"{now() - began:8.3f} {text}")
    folder = tempfile.mkdtemp(); net = free_net()
    store = await Store().serve(f"{net}.1", 8541); store.put("op", "config", config(1))
    zones = list(ZONES); servers = []
    for i in range(4):
        for j, service in enumerate(("reads", "orders", "uploads")):
            servers.append(await Server(store, f"i-{service}-{i}", service, f"{net}.{20 + i}", 8000 + j, zones[i], work=0.05).start())
    hosts = [Host(ROOT, folder, f"h{i}", f"{net}.{11 + i}", zones[i], ZONES[zones[i]], ZONES, f"{net}.1:8541", [f"{net}.11:8544", f"{net}.12:8544"]) for i in range(3)]
    code = 2
    try:
        for host in hosts: await host.start()
        if not all([await host.wait_ready() for host in hosts]): record("a host does not get ready"); return 2
        leaving = next(s for s in servers if s.service == "orders" and s.zone == "zb")
        leaving.record = lambda text: record(text)
        running = True
        async def client(k):
            n = 0
            while running:
                rid = f"c{k}-{n}"; n += 1
                status, *_ = await request(hosts[k % 3].front, "POST", f"/order/{k}", rid, body=b"x", key=str(random.randrange(400)))
                ends[status] = ends.get(status, 0) + 1
                await asyncio.sleep(0.02)
        ends = {}
        clients = [asyncio.create_task(client(k)) for k in range(12)]
        await asyncio.sleep(3)
        # One heartbeat of the server gets no answer. Nothing else is ever disturbed.
        leaving.beat_task.cancel()
        lost_at = now()
        task = asyncio.create_task(leaving.write(LATE_S if TROUBLE else None))
        leaving.beat_from(lost_at)
        await asyncio.sleep(CONTACT_S + 1.3)
        # The store has been without disruption for contactMs. The server says that it leaves.
        leaving.beat_task.cancel(); leaving.state = "draining"
        await leaving.write(); acked = now(); record("the store has acknowledged that the server is draining")
        leaving.beat_from(acked)
        await asyncio.sleep(5)
        running = False; await asyncio.gather(*clients)
        late = [(at - acked, rid) for at, rid, _ in leaving.runs if at > acked + DRAIN_S]
        record(f"clients' ends: {ends}")
        for after, rid in late: record(f"request {rid} reached the server {after:.3f} s after the acknowledgement (bound {DRAIN_S} s)")
        record(f"requests later than drainTimeoutMs: {len(late)}")
        code = 1 if late else 0
    finally:
        for host in hosts: await host.end()
        open(os.path.join(HERE, "record.txt"), "w").write("\n".join(lines) + "\n")
        print(lines[-1] if lines else "nothing ran")
    return code

sys.exit(asyncio.run(main()))
