// A prompt part under which each server ends that begins to write an answer on it. Load pattern: sound requests of one caller
// that share its key and first part, and requests with the part, evenly over three routers and eight servers, each of which is
// back 1.5 s after it has ended.

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { call } from './caller.js';
import { StackFleet, names } from './fleet.js';
import { StackServer } from './server.js';

/** `stableMs` of the published deployments. */
const stableTime: Milliseconds = 3_000;
const restartTime: Milliseconds = 1_500;
const calmTime: Milliseconds = 3_000;
const deadlyTime: Milliseconds = 14_000;
/** Times between two requests. */
const soundInterval: Milliseconds = 50;
const deadlyInterval: Milliseconds = 200;
/** Ends after which the bound on further requests holds, and that bound. */
const endsBefore = 5;
const maxFurther = 3;

let fleet: StackFleet;
let servers: readonly StackServer[] = [];
const ends: Milliseconds[] = [];

before(async () => {
  fleet = await StackFleet.start();
  const more = await Promise.all(
    [3, 4, 5, 6, 7, 8].map((number) => StackServer.start(`model-${number}`)),
  );
  servers = [...fleet.models, ...more];
  for (const server of servers) {
    let born = 1;
    fleet.register(server, names.model, { born });
    server.deadlyPart = 'dead';
    server.onEnd = () => {
      ends.push(performance.now());
      born += 1;
      setTimeout(() => {
        void server.startAgain().then(() => {
          fleet.register(server, names.model, { born });
        });
      }, restartTime);
    };
  }
  for (let index = 0; index < 3; index += 1) await fleet.addRouter();
  for (let index = 0; index < 3; index += 1) await fleet.ready(index);
});

after(async () => {
  await fleet.close();
  await Promise.all(servers.map((server) => server.close()));
});

interface Outcome {
  readonly sentAt: Milliseconds;
  readonly hasBegun: boolean;
}

let sent = 0;

async function send(kind: 'sound' | 'deadly'): Promise<Outcome> {
  sent += 1;
  const sentAt = performance.now();
  const middle = kind === 'deadly' ? 'dead' : `topic-${sent % 5}`;
  const { status, body } = await call({
    address: fleet.routers[sent % 3]?.settings.listen.callers ?? '',
    host: names.host,
    id: `${kind}-${sent}`,
    key: names.key,
    path: '/letters/1',
    method: 'POST',
    body: '{"prompt":"…"}',
    headers: {
      model: 'm',
      'token-usage': '1300,60',
      'prompt-prefix': `first:1000,${middle}:200,own-${sent}:100`,
    },
  });
  return { sentAt, hasBegun: status === 200 && body.length > 0 };
}

/** Sends a request every `interval` until `end`. */
async function sendUntil(
  end: Milliseconds,
  kind: 'sound' | 'deadly',
  interval: Milliseconds,
): Promise<readonly Outcome[]> {
  const answers: Promise<Outcome>[] = [];
  while (performance.now() < end) {
    answers.push(send(kind));
    await pause(interval);
  }
  return Promise.all(answers);
}

function begunShare(outcomes: readonly Outcome[]): number {
  return outcomes.filter(({ hasBegun }) => hasBegun).length / outcomes.length;
}

// Guards against BUDGET and LOST: a fleet that does not connect the ends of servers with what they were answering loses one
// after the other, and one that blames what sound requests share refuses these.
test('a part that ends servers reaches few of them, and sound requests that share the rest are served', async () => {
  const calm = await sendUntil(performance.now() + calmTime, 'sound', soundInterval);
  const end = performance.now() + deadlyTime;
  const [sound] = await Promise.all([
    sendUntil(end, 'sound', soundInterval),
    sendUntil(end, 'deadly', deadlyInterval),
  ]);
  const counted = ends[endsBefore - 1] ?? Infinity;
  const further = servers
    .flatMap(({ seen }) => seen)
    .filter(({ id, at }) => id.startsWith('deadly') && at > counted + stableTime);
  const last = Math.min(counted, ends.at(-1) ?? -Infinity);
  const later = sound.filter(({ sentAt }) => sentAt > last + 2 * stableTime);
  assert.ok(ends.length > 0 && later.length >= 20, 'the load does not show the fault');
  assert.ok(further.length <= maxFurther, `${further.length} more, ${ends.length} ends`);
  const shares = [begunShare(later), begunShare(calm)] as const;
  assert.ok(shares[0] >= shares[1] / 2, shares.join(' begin, before '));
});
