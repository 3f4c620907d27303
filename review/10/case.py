"""Kills all frontend processes twice while a program runs its turns one after the other."""

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
AIM_S = 60.0
TURNS_BETWEEN = 3  # turns before each of the two kills
BACK_S = 0.5  # the processes are back after this time
PAUSE_S = 0.85  # pause after a turn and its tool call
MAX_TURNS = 20


async def play(record, system):
    store = kd.Store(record)
    await store.start(system.ip())
    store.write("config", "main", kd.desired_state({"serverHistory": False, "retentionS": 60.0}))
    models = [kd.Worker(record, f"i-model{n}", "models", EVENTS, STRIDE) for n in (1, 2)]
    tools = [kd.Worker(record, f"i-tool{n}", "tools", 0, event_s=0.02) for n in (1, 2)]
    for workers in (models, tools):
        for worker, zone in zip(workers, kd.ZONES):
            await worker.start(system.ip(), store, zone)
    for number, zone in enumerate(kd.ZONES, 1):
        system.add(f"storage-{number}", "storage", zone, store, True)
    fronts = [f"frontend-{number}" for number in (1, 2, 3)]
    for front, zone in zip(fronts, kd.ZONES):
        system.add(front, "entry", zone, store, True)
    for front in fronts:
        await system.wait_ready(front)
    await asyncio.sleep(8.0)

    async def restart():
        await system.kill(*fronts)
        await asyncio.sleep(BACK_S)
        for front in fronts:
            system.add(front, "entry", system.nodes[front]["zone"], store, False)
        for front in fronts:
            await system.wait_ready(front)

    began = time.monotonic()
    kills = 0
    since_kill = 0
    tokens = turns = 0
    statuses = []

    def headers(identity):
        left_s = AIM_S - (time.monotonic() - began)
        return {
            "Request-Id": identity, "Authorization": kd.KEY, "Program-Id": "3fa81c",
            "Session-Id": "77d20b", "Program-Deadline-Ms": str(int(left_s * 1000)),
            "Timeout-Ms": "3000",
        }

    while turns < MAX_TURNS:
        identity = kd.request_id()
        client = kd.Client(record, system.address(fronts[0]))
        answer = await client.send("POST", "/turns/", dict(
            headers(identity), **{"Model": "m", "Token-Budget": str(BUDGET),
                                  "Token-Usage": f"400,{TURN_TOKENS}",
                                  "Prompt-Prefix": "5c1e07a2:400"}), b"prompt")
        client.close()
        turns += 1
        tokens += STRIDE * len(answer.events)
        statuses.append(answer.status)
        record(f"program: {turns} turns, {tokens} tokens of {BUDGET}")
        if answer.status == 402:
            break
        if answer.status == 503:
            await asyncio.sleep(float(answer.headers.get("retry-after", "0.3")))
            continue
        since_kill += 1
        identity = kd.request_id()
        client = kd.Client(record, system.address(fronts[0]))
        await client.send("GET", f"/tools/{identity}", headers(identity))
        client.close()
        if kd.TROUBLE and kills < 2 and since_kill == TURNS_BETWEEN:
            # While the program waits for a tool, so that no turn is broken off.
            kills, since_kill = kills + 1, 0
            await restart()
        else:
            await asyncio.sleep(PAUSE_S)
    limit = BUDGET + TURN_TOKENS
    record.say(f"answers {statuses}: {tokens} tokens were handed out, "
               f"Token-Budget {BUDGET} + one turn {TURN_TOKENS} = {limit}")
    if not any(status == 200 for status in statuses):
        raise kd.CannotRun("no turn was served")
    return tokens > limit


kd.run(HERE, play)
