"""Two machines of a zone are stopped in turn; what they accepted has to be answered."""

import asyncio
import random
import signal
import time

import harness

GRACE_S = 8.0
GAP_S = 1.0
STREAM_TOKENS = 286
EVENT_GAP_S = 0.096
ROUTE_TIMEOUT_S = 3.0
STREAMS_PER_S = 35
LOAD_S = 12.0


class Rotation:
    """The platform's choice of the machine that gets a new connection, as PROTOCOL.md says."""

    def __init__(self, world):
        self.world = world
        self.misses = {machine.node: 0 for machine in world.fronts()}
        self.next_at = 0.0

    async def check(self):
        while True:
            begun = time.monotonic()
            self.next_at = begun + 1.0
            for machine in self.world.fronts():
                is_ready = await machine.is_ready()
                before = self.misses[machine.node]
                self.misses[machine.node] = 0 if is_ready else before + 1
                if (before < 2) != (self.misses[machine.node] < 2):
                    word = "in" if is_ready else "out of"
                    self.world.record.write(f"platform takes {machine.node} {word} rotation")
            await asyncio.sleep(max(0.0, 1.0 - (time.monotonic() - begun)))

    def choose(self):
        fronts = self.world.fronts()
        ready = [machine for machine in fronts if self.misses[machine.node] < 2]
        return random.choice(ready if 2 * len(ready) >= len(fronts) else fronts)


async def restart_at_end(world, machine):
    """Ends a machine as the platform does: SIGTERM, SIGKILL after the grace, a new start."""
    machine.signal(signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while not machine.has_ended() and time.monotonic() < until:
        await asyncio.sleep(0.02)
    if not machine.has_ended():
        machine.kill()
    world.record.write(f"{machine.node} has ended")
    await asyncio.sleep(0.3)
    machine.start()


async def play(world, has_trouble):
    await world.store.start(harness.free_ip())
    world.store.write("config", "main", harness.desired_state())
    engines = []
    for number in range(8):
        engine = harness.Engine(world.store, world.record, f"i-engine{number}", "huvo11a",
                                "norte-es-a", 16, models=["m"])
        engine.gap_s = EVENT_GAP_S
        await engine.start(harness.free_ip())
        engines.append(engine)
    world.add_machines(fronts=3, storages=1)
    await world.start_machines()
    rotation = Rotation(world)
    checks = asyncio.create_task(rotation.check())
    await asyncio.sleep(4.0)

    stopped_at = {}
    lost = []

    async def stream():
        machine = rotation.choose()
        sent_at = time.monotonic()
        headers = {"Model": "m", "Token-Usage": f"300,{STREAM_TOKENS}",
                   "Prompt-Prefix": f"{random.getrandbits(32):x}:300"}
        caller = harness.PromptCaller(world.record, machine)
        answer = await caller.send("POST", "/lohu930/2f", headers)
        caller.close()
        lasted = time.monotonic() - sent_at
        has_run = any(answer.id in engine.runs for engine in engines)
        stop = stopped_at.get(machine.node)
        if answer.is_complete or not has_run or stop is None or lasted >= ROUTE_TIMEOUT_S:
            return
        after_stop = sent_at - stop
        cut_after_stop = after_stop + lasted
        is_excused = after_stop <= 3.0 and cut_after_stop >= GRACE_S * 5 / 6
        if 0 <= after_stop <= GRACE_S + 1.0 and not is_excused:
            lost.append(answer.id)
            world.record.write(
                f"lost: {answer.id}, sent {after_stop:.2f} s after the SIGTERM of {machine.node}, "
                f"cut after {lasted:.2f} s and {len(answer.events)} events"
            )

    async def roll():
        # Shortly before a check, so that each machine leaves the rotation as soon as it can.
        await asyncio.sleep(max(0.0, rotation.next_at - 0.1 - time.monotonic()))
        for machine in world.fronts()[:2]:
            stopped_at[machine.node] = time.monotonic()
            stops.append(asyncio.create_task(restart_at_end(world, machine)))
            await asyncio.sleep(GAP_S)

    stops = []
    tasks = []
    begun = time.monotonic()
    rolling = None
    while time.monotonic() < begun + LOAD_S:
        if has_trouble and rolling is None and time.monotonic() > begun + 1.0:
            rolling = asyncio.create_task(roll())
        tasks.append(asyncio.create_task(stream()))
        await asyncio.sleep(1 / STREAMS_PER_S)
    await asyncio.gather(*tasks, *stops)
    checks.cancel()
    return bool(lost), f"{len(lost)} of {len(tasks)} streams were lost around planned work"


harness.run_case(play)
