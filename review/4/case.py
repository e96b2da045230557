"""MIXED: a failure bears an upstream's seal and another status than that upstream gave."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from deployment import BROKEN, CANNOT_RUN, HELD, Client, Operator, Upstream, configuration, route, run_case  # noqa: E402
from deployment import service, wait_until  # noqa: E402

ZONES = {"north-a": "north", "mid-a": "midlands", "south-a": "south"}
FAILS = {"from": 0.0, "until": 0.0}
GIVEN = {}


def work_of(is_ill):
    """Answers 200; one that is ill fails part of its requests with a 503 of its own, after it has worked on them."""

    async def work(upstream, request):
        attempt = request["headers"]["x-attempt-id"]
        writer = request["writer"]
        await asyncio.sleep(0.15)
        fails = is_ill and FAILS["from"] <= time.monotonic() < FAILS["until"] and random.random() < 0.4
        status = 503 if fails else 200
        GIVEN[upstream.seal(attempt)[0][1]] = status
        body = b"the ledger is not available\n" if fails else upstream.body_of(attempt)
        await upstream.send(writer, status, attempt, body, upstream.seal(attempt))

    return work


class SealingUpstream(Upstream):
    async def handle(self, request, reader, writer):
        request["writer"] = writer
        await super().handle(request, reader, writer)


async def main(site_of, record, trouble):
    site = site_of(ZONES, [(zone, 1) for zone in ZONES])
    site.start_all()
    operator = Operator(site)
    routes = [route("r1", "duty.example", "/entry/", "non_idempotent", "dutybook", timeout="4000ms")]
    answer = await operator.replace(configuration(1, routes, [service("dutybook")]))
    if not answer or answer.status != 200:
        return CANNOT_RUN
    upstreams = []
    for index in range(6):
        zone = list(ZONES)[index % 3]
        # One in six, within the share of 0.15 to 0.2 that the pages' troubles have.
        upstream = SealingUpstream(site, "dutybook", zone, slots=2, work=work_of(index == 0))
        await upstream.start()
        upstreams.append(upstream)
    clients = [Client(site, zone) for zone in ZONES]
    addresses = {}

    async def is_served():
        for client in clients:
            addresses[client.zone] = await client.resolve("duty.example")
            if not addresses[client.zone]:
                return False
            _, got = await client.request(addresses[client.zone][0], "POST", "duty.example", "/entry/1", 4000, b"duty")
            if not got or got.status != 200:
                return False
        return True

    if not await wait_until(is_served, 20):
        return CANNOT_RUN
    if trouble:
        FAILS["from"] = time.monotonic() + 1
        FAILS["until"] = FAILS["from"] + 5
        record.note("trouble: one of six upstreams fails four in ten of its requests from 1 s on, for 5 s")
    mixed, asked = 0, 0

    async def one(client):
        nonlocal mixed, asked
        asked += 1
        attempt, got = await client.request(
            random.choice(addresses[client.zone]), "POST", "duty.example", "/entry/2", 4000, b"duty"
        )
        if got is None or got.status < 400:
            return
        seal = got.get("x-server-seal")
        if seal and seal in GIVEN and GIVEN[seal] != got.status:
            mixed += 1
            record.note(f"MIXED: {attempt} got {got.status} with the seal of an answer that said {GIVEN[seal]}")

    tasks = []
    for _ in range(480):
        tasks.append(asyncio.create_task(one(random.choice(clients))))
        await asyncio.sleep(0.0167)
    await asyncio.gather(*tasks)
    record.note(f"asked {asked}, mixed {mixed}")
    for upstream in upstreams:
        await upstream.stop()
    return BROKEN if mixed else HELD


run_case(main)
