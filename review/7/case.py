"""Replaces two of three storage machines one after the other, and sends new turns."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import kd  # noqa: E402

CATCH_UP_S = 6.0  # catchUpS of the site; the settings have 4
CONTACT_S = 4.0  # contactMs of the site; the settings have 3,000
AIM_S = 30.0
ROUNDS = 10


async def play(record, system):
    store = kd.Store(record)
    await store.start(system.ip())
    store.write("config", "main", kd.desired_state({"serverHistory": True, "retentionS": 60.0}))
    models = [kd.Worker(record, f"i-model{n}", "models") for n in (1, 2)]
    tools = [kd.Worker(record, f"i-tool{n}", "tools", 0, event_s=0.02) for n in (1, 2)]
    for workers in (models, tools):
        for worker, zone in zip(workers, kd.ZONES):
            await worker.start(system.ip(), store, zone)
    for number, zone in enumerate(kd.ZONES, 1):
        system.add(f"storage-{number}", "storage", zone, store, True)
    fronts = ["frontend-1", "frontend-2"]
    for front, zone in zip(fronts, kd.ZONES):
        system.add(front, "entry", zone, store, True)
    for front in fronts:
        await system.wait_ready(front)
    # The machines have run for a while before anything happens to them.
    await asyncio.sleep(15.0)

    for number in (1, 2):
        if kd.TROUBLE:
            # The new machine first, then SIGTERM to the old one; nothing is lost at any time.
            system.add(f"storage-{number}-new", "storage", kd.ZONES[number - 1], store, False)
        await asyncio.sleep(CATCH_UP_S + 2.0)
        if kd.TROUBLE:
            system.signal(f"storage-{number}", 15)
            await system.wait_end(f"storage-{number}")
    await asyncio.sleep(CONTACT_S + 2.0)

    def headers(identity, program):
        return {
            "Request-Id": identity, "Authorization": kd.KEY, "Program-Id": program,
            "Session-Id": f"{program}-main", "Program-Deadline-Ms": str(int(AIM_S * 1000)),
            "Timeout-Ms": "3000"}

    answered = cut = refused = 0
    clients = {front: kd.Client(record, system.address(front)) for front in fronts}
    for _ in range(ROUNDS):
        for front, client in clients.items():
            # A request of its own before the turn, so that the turn goes over a kept connection.
            identity = kd.request_id()
            await client.send("GET", f"/tools/{identity}", headers(identity, "look-up"))
            identity = kd.request_id()
            answer = await client.send("POST", "/turns/", dict(
                headers(identity, identity[:14]), **{
                    "Model": "m", "Token-Budget": "2288", "Token-Usage": "400,64",
                    "Prompt-Prefix": "5c1e07a2:400"}), b"one;")
            has_run = any(identity in worker.runs for worker in models)
            is_sound = any(identity in worker.ended for worker in models)
            answered += answer.is_success
            refused += answer.is_whole and not answer.is_success
            cut += has_run and is_sound and not answer.is_whole
            await asyncio.sleep(0.1)
    for client in clients.values():
        client.close()
    record.say(f"of {ROUNDS * len(fronts)} new turns on kept connections: {answered} answered whole, "
               f"{refused} refused, {cut} run to their end by a worker and cut off by the machine")
    return cut > 3


kd.run(HERE, play)
