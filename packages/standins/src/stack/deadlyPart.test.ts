// A prompt part under which each server ends that begins to write an answer on it. Load pattern: sound requests of one caller
// that share its key and first part, and requests with the part, evenly over three routers and eight servers, each of which is
// back 1.5 s after it has ended.

import assert from 'node:assert/strict';
import { describe, test, type TestContext } from 'node:test';
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

/** How the list tells of an end. */
type ListBehaviour =
  /** The entry stays until the server has started again under its id. */
  | 'stays'
  /** The entry goes as the server ends, which is back under another id. */
  | 'goes';

/** Routers, and servers that end under the part. */
class DeadlyFleet {
  readonly ends: Milliseconds[] = [];
  #sent = 0;

  private constructor(
    private readonly fleet: StackFleet,
    readonly servers: readonly StackServer[],
    private readonly list: ListBehaviour,
  ) {}

  static async start(t: TestContext, list: ListBehaviour): Promise<DeadlyFleet> {
    const fleet = await StackFleet.start();
    const more = await Promise.all(
      [3, 4, 5, 6, 7, 8].map((number) => StackServer.start(`model-${number}`)),
    );
    const deadly = new DeadlyFleet(fleet, [...fleet.models, ...more], list);
    t.after(async () => {
      await fleet.close();
      await Promise.all(deadly.servers.map((server) => server.close()));
    });
    for (const server of deadly.servers) deadly.#arm(server);
    for (let index = 0; index < 3; index += 1) await fleet.addRouter();
    for (let index = 0; index < 3; index += 1) await fleet.ready(index);
    return deadly;
  }

  #arm(server: StackServer): void {
    const { fleet, list, ends } = this;
    let born = 1;
    fleet.register(server, names.model, { born });
    server.deadlyPart = 'dead';
    server.onEnd = () => {
      ends.push(performance.now());
      born += 1;
      if (list === 'goes') fleet.store.remove('servers', server.id);
      setTimeout(() => {
        if (list === 'goes') server.id = `${server.id.split('.')[0] ?? ''}.${born}`;
        void server.startAgain().then(() => {
          fleet.register(server, names.model, { born });
        });
      }, restartTime);
    };
  }

  async send(kind: 'sound' | 'deadly'): Promise<Outcome> {
    this.#sent += 1;
    const number = this.#sent;
    const sentAt = performance.now();
    const middle = kind === 'deadly' ? 'dead' : `topic-${number % 5}`;
    const { status, body } = await call({
      address: this.fleet.routers[number % 3]?.settings.listen.callers ?? '',
      host: names.host,
      id: `${kind}-${number}`,
      key: names.key,
      path: '/letters/1',
      method: 'POST',
      body: '{"prompt":"…"}',
      headers: {
        model: 'm',
        'token-usage': '1300,60',
        'prompt-prefix': `first:1000,${middle}:200,own-${number}:100`,
      },
    });
    return { sentAt, hasBegun: status === 200 && body.length > 0 };
  }

  /** Sends a request every `interval` until `end`. */
  async sendUntil(
    end: Milliseconds,
    kind: 'sound' | 'deadly',
    interval: Milliseconds,
  ): Promise<readonly Outcome[]> {
    const answers: Promise<Outcome>[] = [];
    while (performance.now() < end) {
      answers.push(this.send(kind));
      await pause(interval);
    }
    return Promise.all(answers);
  }
}

interface Outcome {
  readonly sentAt: Milliseconds;
  readonly hasBegun: boolean;
}

function begunShare(outcomes: readonly Outcome[]): number {
  return outcomes.filter(({ hasBegun }) => hasBegun).length / outcomes.length;
}

describe('a part under which servers end', { concurrency: true }, () => {
  for (const list of ['stays', 'goes'] as const)
    // Guards against BUDGET and LOST: a fleet that does not connect the ends of servers with what they were answering loses one
    // after the other, and one that blames what sound requests share refuses these.
    test(`reaches few of them while their entry ${list}, and sound requests that share the rest are served`, async (t) => {
      const deadly = await DeadlyFleet.start(t, list);
      const { ends, servers } = deadly;
      const calm = await deadly.sendUntil(performance.now() + calmTime, 'sound', soundInterval);
      const end = performance.now() + deadlyTime;
      const [sound] = await Promise.all([
        deadly.sendUntil(end, 'sound', soundInterval),
        deadly.sendUntil(end, 'deadly', deadlyInterval),
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
});
