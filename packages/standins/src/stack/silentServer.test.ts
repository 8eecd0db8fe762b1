// Sound servers that fall silent for more than a second and go on. Nobody else can give the response meanwhile: no other server
// is usable, the retry budget is used up, or the stream is older than the time within which its first event was due.

import assert from 'node:assert/strict';
import { after, before, describe, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import type { Settings } from '@catkinwheel/platform';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, fleetBounds, modelFields, names } from './fleet.js';
import { streamLength } from './server.js';

/** Longer than the router waits for bytes before it looks for another server, shorter than callers wait: 2 s. */
const silence = 1_700;
/** Time between events: the silence begins later than the first event of a response may come. */
const eventPause = 500;
const silentAfter = 5;
const timeLimit = 10_000;
const streams = 8;

const { routes } = desiredStateOf(1) as { readonly routes: readonly object[] };
const patientRoutes = routes.map((route) => ({ ...route, timeoutMs: timeLimit }));

let fleet: StackFleet;
let version = 1;

function send(id: string, options: Partial<Parameters<typeof call>[0]>): Promise<CallResult> {
  const address = fleet.routers[0]?.settings.listen.callers ?? '';
  const own = { address, host: names.host, id, key: names.key, timeLeft: timeLimit };
  return call({ ...own, path: '/letters/1', ...options });
}

/** Changes the desired state once in the silence of the servers. */
async function changeDesiredState(): Promise<void> {
  await pause(eventPause * silentAfter + silence / 2);
  version += 1;
  fleet.store.put('op', 'config', desiredStateOf(version, { routes: patientRoutes }));
}

/** Streams that were not complete, as text. */
async function brokenStreams(): Promise<readonly string[]> {
  const changing = changeDesiredState();
  const results = await Promise.all(
    Array.from({ length: streams }, (_, index) =>
      send(`silent-${version}-${index}`, { method: 'POST', body: '{}', headers: modelFields }),
    ),
  );
  await changing;
  return results
    .filter(({ status, isWhole, body }) => {
      return !(status === 200 && isWhole && body.includes(`id: ${streamLength}\n`));
    })
    .map(({ status, body }) => `${status} ${JSON.stringify(body.slice(-20))}`);
}

describe('a server that is silent for a while', () => {
  const cases: readonly (readonly [string, Settings['bounds'], number])[] = [
    ['other servers are usable', fleetBounds, 2],
    ['the retry budget is used up', { ...fleetBounds, retryRatio: 0, retrySlack: 0 }, 2],
    ['no other server is registered', fleetBounds, 1],
  ];
  for (const [name, changed, servers] of cases) {
    describe(`while ${name}`, () => {
      before(async () => {
        fleet = await StackFleet.start();
        for (const server of fleet.models.slice(servers)) fleet.store.remove('servers', server.id);
        for (const server of fleet.models) {
          server.eventPause = eventPause;
          server.silence = { after: silentAfter, duration: silence };
        }
        for (const server of fleet.desks) server.answerPause = silence;
        version += 1;
        fleet.store.put('op', 'config', desiredStateOf(version, { routes: patientRoutes }));
        await fleet.addRouter({ bounds: changed });
        await fleet.ready();
      });

      after(() => fleet.close());

      // Guards against LOST: a response is broken off for a silence of its server, though nothing can replace it.
      test('gives its callers whole streams, beside a change of the desired state', async () => {
        assert.deepEqual(await brokenStreams(), []);
      });

      // Guards against an error in place of a response that the server was about to give.
      test('gives its caller a whole response to a request that may run again', async () => {
        const { status, isWhole } = await send(`read-${version}`, { path: '/reads/1' });
        assert.deepEqual({ status, isWhole }, { status: 200, isWhole: true });
      });
    });
  }
});
