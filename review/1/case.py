"""A worker in trouble answers with bytes that do not end; a front runs out of its memory."""

import asyncio
import random
import signal
import time

import harness

MEMORY_MB = 110
FRONTS = 2
CALLERS = 48
ENGINES, TROUBLED = 4, 2
LOAD_S = 20.0
ENDS_THAT_BREAK_THE_RULE = 3
FILLER = b"10000\r\n" + b"x" * 65536 + b"\r\n"


class TroubledEngine(harness.Engine):
    """Answers with a head and a body without end, until the caller closes."""

    async def run(self, method, target, headers, body, writer):
        self.note_run(headers, "and answers without end")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/plain", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        while True:
            writer.write(FILLER)
            await writer.drain()


def memory_mb(process_id):
    """Returns the memory of a process that is its own, in MB."""
    try:
        with open(f"/proc/{process_id}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


async def watch_memory(world, machine, ends, peaks):
    """Kills a process that uses more than its memory, and starts it again, as the platform does."""
    while True:
        used_mb = memory_mb(machine.process.pid)
        peaks[machine.node] = max(peaks[machine.node], used_mb)
        if used_mb > MEMORY_MB:
            world.record.write(f"{machine.node} uses {used_mb:.0f} MB of {MEMORY_MB} and is killed")
            machine.process.send_signal(signal.SIGKILL)
            machine.process.wait()
            ends[machine.node] += 1
            await asyncio.sleep(0.3)
            machine.start()
        elif machine.has_ended():
            world.record.write(f"{machine.node} has ended by itself")
            ends[machine.node] += 1
            machine.start()
        await asyncio.sleep(0.005)


async def play(world, has_trouble):
    await world.store.start(harness.free_ip())
    world.store.write("config", "main", harness.desired_state(rate=2000))
    engines = []
    for number in range(ENGINES):
        kind = TroubledEngine if has_trouble and number < TROUBLED else harness.Engine
        engine = kind(world.store, world.record, f"i-engine{number}", "huvo11a", "norte-es-a", 16,
                      models=["m"])
        engine.gap_s = 0.05
        await engine.start(harness.free_ip())
        engines.append(engine)
    world.add_machines(fronts=FRONTS, storages=1)
    await world.start_machines()
    await asyncio.sleep(4.0)

    ends = {machine.node: 0 for machine in world.fronts()}
    peaks = {machine.node: 0.0 for machine in world.fronts()}
    watches = [
        asyncio.create_task(watch_memory(world, machine, ends, peaks))
        for machine in world.fronts()
    ]
    until = time.monotonic() + LOAD_S
    unanswered = []

    async def call(number):
        machine = world.fronts()[number % FRONTS]
        caller = harness.Caller(world.record, machine)
        while time.monotonic() < until:
            headers = {"Model": "m", "Token-Usage": "300,286",
                       "Prompt-Prefix": f"{random.getrandbits(32):x}:300"}
            answer = await caller.send("POST", "/lohu930/2f", headers)
            if answer.status is None:
                unanswered.append(answer.id)
                await asyncio.sleep(0.1)
        caller.close()

    await asyncio.gather(*[call(number) for number in range(CALLERS)])
    for watch in watches:
        watch.cancel()
    counts = ", ".join(f"{node}: {ends[node]} ends, peak {peaks[node]:.0f} MB" for node in ends)
    sound_runs = {name for engine in engines[TROUBLED:] for name in engine.runs}
    lost = sum(name in sound_runs for name in unanswered)
    verdict = f"{counts}; {len(unanswered)} requests without an answer, {lost} ran at sound workers"
    return all(count >= ENDS_THAT_BREAK_THE_RULE for count in ends.values()), verdict


harness.run_case(play)
