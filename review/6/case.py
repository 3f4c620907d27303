"""Replaces the storage machines one after the other, and goes on from a turn of before."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import kd  # noqa: E402

RETENTION_S = 60.0
CATCH_UP_S = 6.0  # catchUpS of the site; the settings have 4
CONTACT_S = 4.0  # contactMs of the site; the settings have 3,000
AIM_S = 60.0  # time objective of the program


def turn(identity, program, previous=None, left_s=AIM_S):
    headers = {
        "Request-Id": identity, "Authorization": kd.KEY, "Program-Id": program,
        "Session-Id": f"{program}-main", "Program-Deadline-Ms": str(int(left_s * 1000)), "Model": "m",
        "Token-Budget": "2288", "Token-Usage": "400,64", "Prompt-Prefix": "5c1e07a2:400",
        "Timeout-Ms": "3000",
    }
    if previous:
        headers["Previous-Turn"] = previous
    return headers


async def play(record, system):
    store = kd.Store(record)
    await store.start(system.ip())
    store.write("config", "main", kd.desired_state({"serverHistory": True, "retentionS": RETENTION_S}))
    workers = [kd.Worker(record, f"i-model{n}", "models") for n in (1, 2)]
    for worker, zone in zip(workers, kd.ZONES):
        await worker.start(system.ip(), store, zone)

    def runs(identity):
        return [body for worker in workers for body in worker.runs.get(identity, [])]

    for number, zone in enumerate(kd.ZONES, 1):
        system.add(f"storage-{number}", "storage", zone, store, True)
    for number, zone in enumerate(kd.ZONES[:2], 1):
        system.add(f"frontend-{number}", "entry", zone, store, True)
    for number in (1, 2):
        await system.wait_ready(f"frontend-{number}")
    await asyncio.sleep(8.0)

    first = kd.request_id()
    client = kd.Client(record, system.address("frontend-1"))
    answer = await client.send("POST", "/turns/", turn(first, "3fa81c"), b"one;")
    client.close()
    if not answer.is_success:
        raise kd.CannotRun(f"the first turn is not served: {answer}")
    kept_from = time.monotonic()
    expected = b"one;" + b"".join(b"%s-%d\n" % (first.encode(), n) for n in range(1, 5)) + b"two;"

    for number, zone in enumerate(kd.ZONES, 1):
        if kd.TROUBLE:
            # The new machine first, then SIGTERM to the old one; nothing is lost at any time.
            system.add(f"storage-{number}-new", "storage", zone, store, False)
        await asyncio.sleep(CATCH_UP_S + 2.0)
        if kd.TROUBLE:
            system.signal(f"storage-{number}", 15)
            await system.wait_end(f"storage-{number}")
    # A machine that is added now knows the storage machines of now.
    system.add("frontend-3", "entry", kd.ZONES[2], store, False)
    await system.wait_ready("frontend-3")
    await asyncio.sleep(CONTACT_S + 2.0)

    client = kd.Client(record, system.address("frontend-3"))
    statuses, reached, first_turns = [], 0, 0
    for attempt in range(5):
        identity = kd.request_id()
        left_s = AIM_S - (time.monotonic() - kept_from) - 1.0
        headers = turn(identity, "3fa81c", first, left_s)
        answer = await client.send("POST", "/turns/", headers, b"two;")
        statuses.append(answer.status)
        bodies = runs(identity)
        reached += bool(bodies)
        if bodies and bodies[0] != expected:
            record.say(f"UNASKED: the worker got {bodies[0]!r} instead of {expected!r}")
            return True
        for _ in range(4):
            identity = kd.request_id()
            await client.send("POST", "/turns/", turn(identity, f"new-{identity}"), b"new;")
            first_turns += bool(runs(identity))
        await asyncio.sleep(1.0)
    client.close()
    age_s = time.monotonic() - kept_from
    if age_s >= RETENTION_S:
        raise kd.CannotRun("the retention is over")
    record.say(f"{age_s:.1f} s after turn {first} was answered whole (kept for {RETENTION_S} s): "
               f"answers {statuses}, {reached} of 5 tries reached a worker, "
               f"{first_turns} of 20 first turns did")
    denied = any(status in (404, 410) for status in statuses)
    stuck = reached == 0 and first_turns >= 18
    return denied or stuck


kd.run(HERE, play)
