"""A direct command that was carried out arrives once more after its task was stopped, reaped and started elsewhere."""
import asyncio
import json
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins"))
from world import World, call_once, now  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Of this share of the direct commands that were carried out, a copy arrives again, this much later.
COPY_SHARE, COPY_LATE_S = 0.3, (2.0, 16.0)
TROUBLE_FOR_S = 30.0
END_S = 75.0
# The small deployment: six quad in brisbane and in townsville, one furnace in each zone.
MACHINES = [("quad", "brisbane")] * 6 + [("quad", "townsville")] * 6 + \
    [("furnace", zone) for zone in ("cairns", "brisbane", "townsville")]


async def main():
    random.seed(2)
    world = World(record=os.path.join(HERE, "record.txt"))
    await world.finish(play(world))


def copy_commands(world):
    """Lets copies of direct commands arrive again, as the network of the pages may."""
    ends = now() + TROUBLE_FOR_S

    async def copy(worker, body):
        await asyncio.sleep(random.uniform(*COPY_LATE_S))
        host, port = worker.addr.split(":")
        status, _, _ = await call_once((host, int(port)), "POST", "/commands", body, 4.0)
        orders = json.loads(body)["orders"]
        world.note("copy", machine=worker.name, status=status, orders=len(orders))

    def carried_out(worker, body):
        if now() < ends and json.loads(body)["orders"] and random.random() < COPY_SHARE:
            world.background.append(asyncio.create_task(copy(worker, body)))

    return carried_out


async def play(world):
    world.note("settings", trouble=TROUBLE, copy_share=COPY_SHARE, copy_late_s=COPY_LATE_S)
    await world.start()
    for node in world.nodes:
        node.start()
    for number, (build, zone) in enumerate(MACHINES):
        await world.add_worker(f"m-{number:06d}", build, zone)
    if not await world.until(lambda: all(node.healthy for node in world.nodes) and world.leader(), 15.0):
        print("the controllers did not come up")
        return 2
    if TROUBLE:
        world.carried_out = copy_commands(world)

    # Low work over all zones; half of the machines stay free.
    low = [world.spec("wk-000100", "qc-desk", 24, 2.0, 6.7, 70.0, herd="rewrap", urgency="low", markS=30.0, stashS=3.0,
                      sizeGb=0.2)]
    world.run_times["wk-000100"] = 30.0
    if (await world.submit(low[0]))[0] != 201:
        return 2
    await asyncio.sleep(2.0)
    # Urgent work that is bound to one zone takes all room there and is over soon.
    urgent = [world.spec(f"wk-0002{i:02d}", ["reefline", "localise"][i], 20, 1.0, 2.0, 3.0, herd="hotfix", urgency="high",
                         paddock="brisbane", bundle="img-2", sizeGb=0.1) for i in range(2)]
    for spec in urgent:
        if (await world.submit(spec))[0] != 201:
            return 2
    ends = {}
    while now() < END_S and len(ends) < len(low) + len(urgent):
        await asyncio.sleep(2.0)
        for spec in low + urgent:
            answer = spec["uid"] not in ends and await world.poll(spec["uid"])
            if answer and answer["status"] == "done":
                ends[spec["uid"]] = round(now(), 1)
    alive = all(node.process.poll() is None for node in world.nodes)
    twice = [fields for rule, fields in world.broken if rule == "ran_twice"]
    world.note("end", done=ends, ran_twice=len(twice), controllers_alive=alive)
    print(f"trouble={TROUBLE} done={ends} broken={[rule for rule, _ in world.broken]}")
    if twice:
        return 1
    if len(ends) == len(low) + len(urgent) and alive and not world.broken:
        print("held")
        return 0
    return 2


if __name__ == "__main__":
    asyncio.run(main())
