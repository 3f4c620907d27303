"""Kills the process that answers a turn, once in each of the first three turns of a program."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import kd  # noqa: E402

STRIDE = 16  # tokens of one event
EVENTS = 18
TURN_TOKENS = STRIDE * EVENTS  # 288, the most of one turn
BUDGET = 8 * TURN_TOKENS  # 2304
EVENT_S = 0.05  # a turn lasts 0.9 s
KILL_AFTER_S = 0.8
BACK_S = 0.5  # a killed process is back after this time
AIM_S = 60.0
MAX_TURNS = 20


async def play(record, system):
    store = kd.Store(record)
    await store.start(system.ip())
    store.write("config", "main", kd.desired_state({"serverHistory": False, "retentionS": 60.0}))
    models = [kd.Worker(record, f"i-model{n}", "models", EVENTS, STRIDE, EVENT_S) for n in (1, 2)]
    for worker, zone in zip(models, kd.ZONES):
        await worker.start(system.ip(), store, zone)
    for number, zone in enumerate(kd.ZONES, 1):
        system.add(f"storage-{number}", "storage", zone, store, True)
    fronts = [f"frontend-{number}" for number in (1, 2, 3)]
    for front, zone in zip(fronts, kd.ZONES):
        system.add(front, "entry", zone, store, True)
    for front in fronts:
        await system.wait_ready(front)
    await asyncio.sleep(8.0)

    began = time.monotonic()
    tokens = 0

    async def attempt(front):
        nonlocal tokens
        left_s = AIM_S - (time.monotonic() - began)
        client = kd.Client(record, system.address(front))
        answer = await client.send("POST", "/turns/", {
            "Request-Id": kd.request_id(), "Authorization": kd.KEY, "Program-Id": "3fa81c",
            "Session-Id": "77d20b", "Program-Deadline-Ms": str(int(left_s * 1000)),
            "Timeout-Ms": "3000", "Model": "m", "Token-Budget": str(BUDGET),
            "Token-Usage": f"400,{TURN_TOKENS}", "Prompt-Prefix": "5c1e07a2:400"}, b"prompt")
        client.close()
        tokens += STRIDE * len(answer.events)
        record(f"program: {tokens} tokens of {BUDGET}")
        return answer

    async def kill_and_restart(front):
        await asyncio.sleep(KILL_AFTER_S)
        await system.kill(front)
        await asyncio.sleep(BACK_S)
        system.add(front, "entry", system.nodes[front]["zone"], store, False)

    at, turns, kills = 0, 0, 0
    statuses = []
    while turns < MAX_TURNS:
        killing = None
        if kd.TROUBLE and kills < 3:
            kills += 1
            killing = asyncio.ensure_future(kill_and_restart(fronts[at]))
        # A turn that has failed is sent again after .1 to .4 s, at most twice, at another machine.
        for _ in range(3):
            answer = await attempt(fronts[at])
            statuses.append(answer.status if answer.is_whole else "cut")
            if answer.is_whole and answer.status in (200, 402):
                break
            at = (at + 1) % 3
            await asyncio.sleep(0.3)
        turns += 1
        if killing:
            await killing
        if not answer.is_success:
            break
        await asyncio.sleep(0.5)
    limit = BUDGET + TURN_TOKENS
    record.say(f"answers {statuses}: {tokens} tokens were handed out, "
               f"Token-Budget {BUDGET} + one turn {TURN_TOKENS} = {limit}")
    if 200 not in statuses:
        raise kd.CannotRun("no turn was served")
    return tokens > limit


kd.run(HERE, play)
