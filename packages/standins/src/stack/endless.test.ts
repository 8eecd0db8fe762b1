// Bytes that are no answer may come without end, in a head or in a body, until the router closes. It must not wait for
// their end, keep them, or stop serving others.

import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { call, type CallResult } from './caller.js';
import { StackFleet, modelFields, names, until } from './fleet.js';
import type { EndlessBehaviour, StackServer } from './server.js';

/** Time after the limit of a route, 3 s here, in which its request has its final answer. */
const answerWithin = 3_500;
/** Memory that a router may need for answers without end; the smallest VMs have 250 MB in all. */
const memoryWithin = 64 * 1024 * 1024;
/** A server that refused or failed gets no request for a while. */
const restTime = 600;

let fleet: StackFleet;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

const routes = {
  reads: { path: '/reads/1', method: 'GET' },
  charges: { path: '/charges/1', method: 'POST', body: '{"amount":1}' },
  letters: { path: '/letters/1', method: 'POST', body: '{}', headers: modelFields },
} as const;

function send(route: keyof typeof routes): Promise<CallResult> {
  sent += 1;
  const address = fleet.routers[0]?.settings.listen.callers ?? '';
  const own = { address, host: names.host, id: `endless-${sent}`, key: names.key };
  return call({ ...own, timeLeft: 10_000, ...routes[route] });
}

function serversOf(route: keyof typeof routes): readonly StackServer[] {
  return route === 'letters' ? fleet.models : fleet.desks;
}

const behaviours: readonly EndlessBehaviour[] = [
  'endlessNoise',
  'endlessHead',
  'endlessInterim',
  'endlessRefusal',
  'endlessFailure',
  'endlessExtension',
  'endlessEvent',
  'endlessTrailer',
];

/** Answers that are over for the router as soon as they begin; it knows all that they can tell. */
const decidedAtOnce: ReadonlySet<EndlessBehaviour> = new Set<EndlessBehaviour>([
  'endlessNoise',
  'endlessHead',
  'endlessInterim',
  'endlessRefusal',
  'endlessExtension',
  'endlessTrailer',
]);

for (const route of ['reads', 'charges', 'letters'] as const) {
  describe(`answers without end to ${route}`, () => {
    for (const behaviour of behaviours) {
      // Guards against a request, a connection or the memory of the router being held until the server ends its answer.
      test(`${behaviour} is cut, and others are served meanwhile`, async () => {
        await pause(restTime);
        const servers = serversOf(route);
        for (const server of servers) {
          server.behaviours = [behaviour];
          server.closed.clear();
          server.seen.length = 0;
        }
        const memory = process.memoryUsage().rss;
        const start = performance.now();
        const answer = send(route);
        await until(() => servers.some(({ seen }) => seen.length > 0));
        const others = servers.filter(({ seen }) => seen.length === 0);
        for (const server of others) server.behaviours = [];
        const other = await send(route === 'reads' ? 'letters' : 'reads');
        assert.equal(other.status, 200);
        const { status, isWhole, body } = await answer;
        const took = performance.now() - start;
        assert.ok(took < answerWithin, `ended after ${took.toFixed(0)} ms`);
        if (status === 200 && isWhole) assert.ok(!body.includes('xxx') && !body.includes('\0'));
        if (route === 'charges') assert.ok(status !== 503 || behaviour === 'endlessRefusal');
        if (decidedAtOnce.has(behaviour))
          assert.ok(took < 2_500, `ended after ${took.toFixed(0)} ms`);
        await until(() => servers.some(({ closed }) => closed.size > 0));
        assert.ok(process.memoryUsage().rss - memory < memoryWithin);
      });
    }
  });
}
