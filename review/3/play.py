"""The servers of a service are replaced; meanwhile a host stands still. After it woke, the entries of the old
servers go, and the host sends to them for too long."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # noqa: E402

ZONES = {"za": "ra", "zb": "rb", "zc": "rc"}
DRAIN_S = 2.0
CONTACT_S = 3.0
STANDSTILL_S = 3.5
# Time from the host's waking until the entry goes, and for which the server serves on after that.
ENTRY_GOES_AFTER_S = 1.3
SERVES_ON_S = 2.3


async def scenario(record, base, temporary, trouble):
    store = standins.Store(record)
    await store.http.start(f"{base}.250")
    servers = [standins.Backend(record, store, f"i-{n}", "orders", zone)
               for n, zone in enumerate(["za", "za", "zb", "zb", "zc", "zc"])]
    await store.put("op", "config", standins.configuration(["orders"]))
    for number, server in enumerate(servers):
        await server.start(f"{base}.{200 + number}")
    fleet = standins.Fleet(record, store, ZONES, base, temporary)
    try:
        for number, zone in enumerate(ZONES, 1):
            fleet.start(f"h{number}", zone, number)
        await fleet.until_ready()
        callers = [standins.Callers(record, name, "/orders/") for name in fleet.hosts]
        until = time.monotonic() + 24
        sending = [asyncio.create_task(c.run(fleet.hosts[c.host_name]["front"], 50, until)) for c in callers]
        await asyncio.sleep(6)
        if trouble:
            fleet.signal("h1", signal.SIGSTOP)
        await asyncio.sleep(1)
        leaving = servers[:]
        for number, server in enumerate(leaving):
            joining = standins.Backend(record, store, f"i-new-{number}", "orders", server.zone)
            servers.append(joining)
            await joining.start(f"{base}.{220 + number}")
        await asyncio.sleep(STANDSTILL_S - 1)
        if trouble:
            fleet.signal("h1", signal.SIGCONT)
        woke = record.now()
        await asyncio.sleep(ENTRY_GOES_AFTER_S)
        gone_at = max([await server.leave_unsaid() for server in leaving])
        record.write(f"entries of {[server.ident for server in leaving]} are gone, acknowledged by the store")
        await asyncio.sleep(SERVES_ON_S)
        for server in leaving:
            server.end()
        await asyncio.gather(*sending)
    finally:
        fleet.end()
    in_touch = max(gone_at + DRAIN_S, woke + CONTACT_S)
    if not any(status == 200 for c in callers for status in c.results.values()):
        raise standins.CannotRun("no request was answered")
    late = [(at, request, server) for server in leaving for at, request, _ in server.arrivals if at > in_touch]
    lines = []
    for at, request, server in late:
        end = next(c.results[request] for c in callers if request in c.results)
        lines.append(f"DRAIN: {request} reached {server.ident} {(at - gone_at) * 1000:.0f} ms after its entry was gone "
                     f"(bound {DRAIN_S * 1000:.0f}), {at - woke:.2f} s after the host woke; its caller got {end}")
    return lines


standins.play(FOLDER, scenario)
