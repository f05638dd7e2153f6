"""The first jobs of six pipelines are called off while the state service refuses the leader alone; a second later the
state service is down for longer than cancel_s. What do the controllers call the jobs after them, once it is up again?"""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from standins import CannotRun, linmsg, main, now  # noqa: E402

MACHINES = [("octa-box", "taipei-a")] * 4 + [("octa-box", "taichung-b")] * 4 + [("octa-box", "kaohsiung-c")] * 2
PIPELINES, RENDERS = 6, 4
POLL_EVERY_S = 5.0


async def scenario(d, trouble):
    cancel_s = d.settings["workers"]["cancel_s"]
    leader = await d.ready()
    others = [i for i in range(3) if i != leader]
    d.record(f"leader is controller {leader}")
    first, after = [], []

    async def submit_pipeline(p):
        """notify-chain: segment-build, then locale-render (four) and rate-shape, then reminder-fire."""
        team, node = d.settings["teams"][p][0], others[p % 2]
        uid = [f"wk-{1000 + 10 * p + k:06d}" for k in range(RENDERS + 3)]
        await d.submit(d.spec(uid[0], 400.0, herd="segment-build", owner=team, urgency="low", memGb=1.6), node)
        for k in range(1, RENDERS + 1):
            await d.submit(d.spec(uid[k], 5.0, herd="locale-render", owner=team, urgency="low", memGb=1.6,
                                  waitsOn=[uid[0]]), node)
        await d.submit(d.spec(uid[-2], 5.0, herd="rate-shape", owner=team, cores=2.0, memGb=3.2, waitsOn=[uid[0]]), node)
        await d.submit(d.spec(uid[-1], 5.0, herd="reminder-fire", owner=team, urgency="high", memGb=1.6,
                              waitsOn=uid[1:-1], dueS=900.0), node)
        first.append(uid[0])
        after.extend((u, uid[0]) for u in uid[1:])

    await asyncio.gather(*(submit_pipeline(p) for p in range(PIPELINES)))
    await asyncio.sleep(5.0)
    told = {}

    async def call_off(k, uid):
        answer, told[uid] = await d.cancel(uid, others[k % 2])
        if answer.get("status") != "cancelled":
            raise CannotRun(f"the cancellation was answered with {answer}")

    if trouble:
        d.state.set_refused(leader, True)
        await asyncio.sleep(0.3)
    await asyncio.gather(*(call_off(k, uid) for k, uid in enumerate(first)))
    d.record(f"users told at {min(told.values()):.3f} to {max(told.values()):.3f} that {', '.join(first)} are cancelled")
    if trouble:
        await asyncio.sleep(1.0)
        d.state.set_outage(True)
        d.state.set_refused(leader, False)
    await asyncio.sleep(max(0.0, max(told.values()) + cancel_s + 3.0 - now()))
    if trouble:
        d.state.set_outage(False)
    broken, final = [], {}
    end = now() + 15.0

    async def user(k, uid, root):
        """Polls every 5 s, at one controller after the other, until its job is over."""
        await asyncio.sleep(POLL_EVERY_S * k / len(after))
        node = k
        while now() < end:
            node += 1
            status, answer, sent = await d.poll(uid, node % 3)
            if status == 200 and answer["status"] in ("pending", "running") and sent > told[root] + cancel_s:
                broken.append((uid, sent - told[root]))
                d.record(f"orphaned: {uid} is called {answer['status']} {sent - told[root]:.2f} s after the user was told that "
                         f"{root} is cancelled")
            if status == 200 and answer["status"] in ("cancelled", "done"):
                final[uid] = answer["status"]
                return
            await asyncio.sleep(POLL_EVERY_S)

    await asyncio.gather(*(user(k, uid, root) for k, (uid, root) in enumerate(after)))
    if broken:
        return (f"orphaned: {len(broken)} answers about {len({b[0] for b in broken})} of {len(after)} jobs say pending or "
                f"running, the latest {max(b[1] for b in broken):.1f} s after the user was told (cancel_s {cancel_s})")
    if len(final) != len(after) or set(final.values()) != {"cancelled"}:
        raise CannotRun(f"not all jobs are over: {len(final)} of {len(after)}")
    return None


main(__file__, linmsg(MACHINES), scenario)
