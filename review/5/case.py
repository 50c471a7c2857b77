"""A leaving backend server loses the answers of requests that it ran; its daemon sends them again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import mesh as m

CALLERS = 10
LOST_EVERY = 3
WORK_S = 3.0
DEADLINE_MS = 6000
LEAVE_AFTER_S = 0.3


async def run_archive(upstream, request, reader, writer):
    long = request.target.startswith("/records/long")
    await asyncio.sleep(WORK_S if long else 0.2)
    number = int(request.target.rpartition("/")[2]) if long else 1
    if long and m.has_trouble() and upstream.state == "draining" and number % LOST_EVERY == 0:
        upstream.mesh.record.write(
            f"answer of id={request.header('Request-Id')} is lost: connection reset")
        writer.transport.abort()
        return False
    return await upstream.answer(request, writer, b"r" * 400)


async def call(mesh, machine, target, deadline_ms):
    request_id = mesh.make_id()
    try:
        status, _ = await m.request_once(
            machine.outbound, "GET", target,
            headers=[("Request-Id", request_id), ("Deadline-Ms", str(deadline_ms))])
    except (OSError, asyncio.IncompleteReadError):
        status = 0
    mesh.record.write(f"caller id={request_id} {target} gets {status or 'a closed connection'}")
    return request_id, status


async def case(mesh):
    entry = await mesh.add_machine("counter", run_archive)
    leaving = await mesh.add_machine("archive", run_archive)
    await mesh.add_machine("archive", run_archive, zone="zone-b")
    await mesh.start({"records": {"service": "archive", "timeout_s": 6}})
    # Earlier requests, after which their connections to the server are kept.
    await asyncio.gather(*[call(mesh, entry, "/records/short", 5000) for _ in range(CALLERS)])
    calls = [asyncio.create_task(call(mesh, entry, f"/records/long/{number}", DEADLINE_MS))
             for number in range(CALLERS)]
    await asyncio.sleep(LEAVE_AFTER_S)
    server = leaving.upstream
    server.state = "draining"
    if not await server.report(leaving.control):
        raise m.CannotRun("the heartbeat was not acknowledged")
    acknowledged = mesh.record.now()
    mesh.record.write(f"{leaving.name} acknowledges that {server.instance} is draining")
    await asyncio.gather(*calls)
    late = [(request_id, when) for request_id, when in server.ran
            if when > acknowledged + m.BOUNDS["drain_s"]]
    for request_id, when in late:
        mesh.record.write(f"id={request_id} reached {server.instance} {when - acknowledged:.2f} s "
                          f"after the acknowledgement, drain_s = {m.BOUNDS['drain_s']}")
    return f"DRAIN: {len(late)} requests reached the leaving server too late" if late else ""


m.main(case, os.path.dirname(os.path.abspath(__file__)))
