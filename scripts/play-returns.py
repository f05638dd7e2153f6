#!/usr/bin/env python3
"""Plays returns of machines and controllers on real processes while late copies of direct commands arrive.

    scripts/play-returns.py [--memory everything|counters|next-epoch|nothing] [--seed N] [--heard-first]

Uses the stand-ins of review/stand_ins and the program that `cargo build --release` builds. Every few seconds a machine,
a controller or both are back, at once or within a second, while jobs run, move, are cancelled and end; copies of the
direct commands that were carried out arrive again 2 to 16 s later. With --heard-first a copy that would reach an agent
before it has heard a token waits until then. Exits with 1 if a rule was broken, 2 if the play could not run, else 0.
"""
import argparse
import asyncio
import json
import os
import random
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "review", "stand_ins"))
from world import World, call_once, now  # noqa: E402

COPY_SHARE, COPY_LATE_S = 0.5, (2.0, 16.0)
RETURNS_UNTIL_S, END_S = 60.0, 150.0
MACHINES = [("quad", zone) for zone in ("cairns", "brisbane", "townsville") for _ in range(4)]


def restart_agent(worker, memory):
    """The agent starts again and knows what `memory` says."""
    if memory != "everything":
        for key in list(worker.parts):
            worker.drop(key, "machine back")
    if memory == "next-epoch":
        worker.stint, worker.tally, worker.baton, worker.lease_from = worker.stint + 1, 0, 0, now()
    if memory == "nothing":
        worker.stint, worker.tally, worker.baton, worker.lease_from = 1, 0, 0, now()


async def return_machine(world, memory):
    worker = random.choice([w for w in world.workers.values() if w.parts] or list(world.workers.values()))
    away_s = random.choice([0.0, random.uniform(0.0, 0.8)])
    world.note("machine away", machine=worker.name, away_s=round(away_s, 2), parts=len(worker.parts))
    worker.mute = worker.hung = True
    await asyncio.sleep(away_s)
    restart_agent(worker, memory)
    worker.mute = worker.hung = False


async def return_controller(world):
    node = random.choice([world.leader() or world.nodes[0], random.choice(world.nodes)])
    world.note("controller ends", node=node.name)
    node.kill()
    await asyncio.sleep(random.uniform(0.05, 0.8))
    node.start()


async def returns(world, memory):
    while now() < RETURNS_UNTIL_S:
        await asyncio.sleep(random.uniform(2.0, 5.0))
        kind = random.random()
        both = []
        if kind < 0.75:
            both.append(return_machine(world, memory))
        if kind > 0.55:
            both.append(return_controller(world))
        await asyncio.gather(*both)


def copy_commands(world, heard_first):
    async def copy(worker, body):
        await asyncio.sleep(random.uniform(*COPY_LATE_S))
        while heard_first and worker.baton == 0:
            await asyncio.sleep(0.1)
        host, port = worker.addr.split(":")
        try:
            status, _, _ = await call_once((host, int(port)), "POST", "/commands", body, 4.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status = 0
        world.note("copy", machine=worker.name, status=status, orders=len(json.loads(body)["orders"]))

    def carried_out(worker, body):
        if json.loads(body)["orders"] and random.random() < COPY_SHARE:
            world.background.append(asyncio.create_task(copy(worker, body)))

    return carried_out


async def play(world, arguments):
    await world.start()
    for node in world.nodes:
        node.start()
    for number, (build, zone) in enumerate(MACHINES):
        worker = await world.add_worker(f"m-{number:06d}", build, zone)
        worker.tally = 5_000  # the machines have been up for hours
    if not await world.until(lambda: all(node.healthy for node in world.nodes) and world.leader(), 15.0):
        print("the controllers did not come up")
        return 2
    world.carried_out = copy_commands(world, arguments.heard_first)
    world.background.append(asyncio.create_task(returns(world, arguments.memory)))
    jobs, cancelled = [], []
    for number in range(30):
        uid = f"wk-{number:06d}"
        spec = world.spec(uid, ["reefline", "localise", "qc-desk"][number % 3], 3, 1.0, 2.0, 8.0, bundle="img-1", sizeGb=0.1)
        world.run_times[uid] = random.uniform(3.0, 14.0)
        if (await world.submit(spec))[0] != 201:
            continue
        jobs.append(uid)
        if random.random() < 0.3 and len(jobs) > 2:
            cancelled.append(jobs[-2])
            await world.cancel(jobs[-2])
        await asyncio.sleep(1.5)
    over = set()
    while now() < END_S and len(over) < len(jobs):
        await asyncio.sleep(2.0)
        for uid in set(jobs) - over:
            answer = await world.poll(uid)
            if answer and answer["status"] in ("done", "cancelled"):
                over.add(uid)
    await asyncio.sleep(world.cancel_s if cancelled else 0.0)
    alive = all(node.process.poll() is None for node in world.nodes)
    print(f"memory={arguments.memory} seed={arguments.seed} jobs={len(jobs)} over={len(over)} cancelled={len(cancelled)} "
          f"controllers alive={alive} broken={[rule for rule, _ in world.broken]}")
    if world.broken:
        return 1
    return 0 if alive and len(over) == len(jobs) else 2


async def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--memory", default="counters", choices=["everything", "counters", "next-epoch", "nothing"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--heard-first", action="store_true")
    parser.add_argument("--record", default=None)
    arguments = parser.parse_args()
    random.seed(arguments.seed)
    world = World(record=arguments.record)
    await world.finish(play(world, arguments))


if __name__ == "__main__":
    asyncio.run(main())
