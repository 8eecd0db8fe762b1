// Guards against LOST: a value from outside that a decoder lets through and a later part cannot bear ends a router, with the
// requests of all other callers.

import assert from 'node:assert/strict';
import { createSocket, type Socket } from 'node:dgram';
import { Agent } from 'node:http';
import { createServer } from 'node:http';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, modelFields, names } from './fleet.js';
import { RawServer } from './rawServer.js';

const oddService = 'odd-service';
const peerIp = '127.0.0.99';

let fleet: StackFleet;
let oddServer: RawServer;
/** A field of the next answers of the odd server. */
let oddField = '';
let oddStatus = 200;
let peer: Socket;
/** What the odd peer says when it is asked for its tables. */
let peerState = '{}';
const peerHttp = createServer((_, response) => response.end(peerState));

before(async () => {
  fleet = await StackFleet.start();
  oddServer = await RawServer.start('odd', ({ id, socket }) => {
    const head = `request-id: ${id}\r\nresponse-seal: seal-odd\r\ncontent-length: 2`;
    socket.write(`HTTP/1.1 ${oddStatus} Odd\r\n${head}\r\n${oddField}\r\n\r\nok`, 'latin1');
  });
  fleet.store.put('servers', oddServer.id, entryOf(oddServer.address));
  fleet.store.put('op', 'config', configOf(2));
  await fleet.addRouter();
  await fleet.addRouter();
  await fleet.ready();
  await fleet.ready(1);
  peer = createSocket('udp4');
  await new Promise<void>((resolve) => peer.bind(0, peerIp, resolve));
  await new Promise<void>((resolve) => peerHttp.listen(settings().peerPort, peerIp, resolve));
});

after(async () => {
  await fleet.close();
  await oddServer.close();
  peer.close();
  peerHttp.closeAllConnections();
  peerHttp.close();
});

function settings(): StackFleet['routers'][number]['settings'] {
  const [router] = fleet.routers;
  assert.ok(router !== undefined);
  return router.settings;
}

function entryOf(address: string): Readonly<Record<string, unknown>> {
  const place = { service: oddService, address, zone: 'suva', state: 'ready' };
  return { ...place, slots: 6, warmupLeftMs: 0, sequence: 1, born: 1 };
}

/** The desired state of the fleet with a route, a service and a tenant more, which nobody else uses. */
function configOf(version: number): Readonly<Record<string, unknown>> {
  const state = desiredStateOf(version) as Readonly<Record<string, readonly unknown[]>>;
  const route = { name: 'odd', host: names.host, prefix: '/odd/', routeType: 'idempotent' };
  const times = { timeoutMs: 3_000, targetLatencyMs: 400, priority: 1, maxAttempts: 1 };
  const engine = { slots: 8, kvTokens: 1_000 };
  return {
    ...state,
    routes: [
      { ...route, ...times, weightedBackends: [{ service: oddService, weight: 1 }] },
      ...(state.routes ?? []),
    ],
    services: [{ name: oddService, warmupS: 1, coldPerS: 6, engine }, ...(state.services ?? [])],
    tenants: [{ name: 'odd', apiKeys: ['odd'], priority: 1 }, ...(state.tenants ?? [])],
  };
}

function ask(
  id: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
  agent?: Agent,
): Promise<CallResult> {
  const { listen } = settings();
  const kept = agent === undefined ? {} : { agent };
  const caller = { address: listen.callers, host: names.host, key: names.key };
  return call({ ...caller, ...kept, id, path, headers });
}

/** Other callers, on kept connections, while `work` runs; returns what they got other than whole answers. */
async function lostBeside(work: () => Promise<void>): Promise<readonly string[]> {
  let isOver = false;
  const lost: string[] = [];
  const callers = ['letters', 'reads', 'charges'].map(async (kind) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let number = 1; !isOver; number += 1) {
      const id = `${kind}-${number}`;
      const fields = kind === 'letters' ? modelFields : {};
      const { status, isWhole } = await ask(id, `/${kind}/1`, fields, agent);
      if (status !== 200 || !isWhole) lost.push(`${id}: ${status}`);
    }
    agent.destroy();
  });
  try {
    await work();
  } finally {
    isOver = true;
    await Promise.all(callers);
  }
  return lost;
}

test('a request that states a fraction of a token gets 400 by itself, beside whole answers to the others', async () => {
  const lost = await lostBeside(async () => {
    await pause(100);
    const { 'prompt-prefix': parts } = modelFields;
    const odd = { ...modelFields, 'prompt-prefix': `${parts},91bd3f06:410.5` };
    const { status, body } = await ask('fraction', '/letters/odd', odd);
    assert.equal(status, 400);
    assert.match(body, /prompt-prefix: expected entries ID:TOKENS/);
    await pause(200);
  });
  assert.deepEqual(lost, []);
});

/** Values of JSON that no program of the platform writes; `Infinity` is what `1e999` is read as. */
const infinite = '@infinite';
const nested = Array.from({ length: 4 }).reduce<unknown>((inner) => [inner], null);
const oddValue = fc.constantFrom<unknown>(
  ...[-1, 410.5, 1e300, 2 ** 53, infinite, null, '', 'x'.repeat(300), '\n', '\u0142', true],
  ...[[], {}, nested, '__proto__', '127.0.0.1:0', '999.0.0.1'],
);
const oddText = fc.oneof(
  fc.stringMatching(/^[-0-9.,:+eaxN \u00e9]*$/),
  fc.constantFrom('410.5', '-1', '1e300', 'NaN', 'Infinity', '9'.repeat(400), 'timeout=0', 'close'),
);

type Path = readonly (string | number)[];

/** The paths of the values in a document that are no lists and no objects. */
function leavesOf(document: unknown, path: Path = []): readonly Path[] {
  if (typeof document !== 'object' || document === null) return [path];
  return Object.entries(document).flatMap(([key, value]) => leavesOf(value, [...path, key]));
}

function replaced(document: unknown, [step, ...rest]: Path, value: unknown): unknown {
  if (step === undefined) return value;
  const inner = replaced((document as Record<string, unknown>)[step], rest, value);
  if (Array.isArray(document))
    return document.map((item: unknown, index) => (String(index) === step ? inner : item));
  return { ...(document as object), [step]: inner };
}

/** The document as JSON with one odd value, at a path that starts with one of `steps` if there are any. */
function spoilt(document: unknown, steps: readonly string[] = []): fc.Arbitrary<string> {
  const leaves = leavesOf(document).filter(
    (path) => steps.length === 0 || steps.some((step) => path.join('.').startsWith(step)),
  );
  return fc
    .tuple(fc.constantFrom(...leaves), oddValue)
    .map(([path, value]) =>
      JSON.stringify(replaced(document, path, value)).replaceAll(`"${infinite}"`, '1e999'),
    );
}

const requestFields = [
  ...['deadline-ms', 'token-usage', 'prompt-prefix', 'last-event-id', 'model', 'length-hint'],
  ...['request-id', 'authorization', 'pin-ms', 'kv-from', 'constructor', 'keep-alive', 'te'],
];
const answerFields = [
  ...['retry-after', 'keep-alive', 'content-length', 'server-leaving', 'request-id', 'connection'],
  ...['weight-versions', 'cold-ms', 'not-executed', 'content-encoding', '__proto__', 'constructor'],
  ...['transfer-encoding', 'set-cookie', 'content-type'],
];

const report = {
  router: 'odd-peer',
  ip: peerIp,
  dataCentre: 'suva',
  isLeaving: false,
  capacity: 1,
  used: 0.1,
  members: [['odd-member', '127.0.0.98', false, 10, 5, 1, 0.1, true]],
  storeAge: 10,
  operators: 1_000,
  servers: 1_000,
  loads: [['odd', 10, 1, 10]],
  teams: [['odd', 10]],
  waiting: [['odd', 10, 1, 10]],
  least: [['odd', 10]],
  parts: [['odd', 'm/aa', 100]],
  leaving: [['odd-gone', 1]],
  evidence: {
    crashes: [['odd-peer', 'odd-gone', 1, 5, true, [['odd-part', 0, 1]]]],
    sound: [['odd-part', 5]],
    blocked: [['odd-part', 5]],
  },
};
const state = {
  operators: { version: 3, rows: [{ key: 'odd', version: 3, value: '{}' }] },
  servers: { version: 3, rows: [{ key: 'odd-row', version: 3, value: '{}' }] },
  routers: [['odd-member', '127.0.0.98', 1]],
  parts: [['odd', 'm/aa', 100]],
};

/** Something odd that comes from outside. */
const event = fc.oneof(
  fc.record({
    kind: fc.constant('request' as const),
    path: fc.constantFrom('/letters/odd', '/reads/odd', '/charges/odd', '/reads/\u00e9'),
    fields: fc.dictionary(fc.constantFrom(...requestFields), oddText, { minKeys: 1, maxKeys: 4 }),
  }),
  fc.record({
    kind: fc.constant('answer' as const),
    status: fc.oneof(fc.constantFrom(200, 503), fc.integer({ min: 0, max: 999 })),
    field: fc.tuple(fc.constantFrom(...answerFields), oddText).map((field) => field.join(': ')),
  }),
  fc.record({ kind: fc.constant('datagram' as const), text: spoilt(report) }),
  fc.record({ kind: fc.constant('state' as const), text: spoilt(state) }),
  fc.record({
    kind: fc.constantFrom('servers' as const, 'routers' as const),
    text: fc.oneof(spoilt(entryOf('127.0.0.1:9')), spoilt({ ip: peerIp, capacity: 1 })),
  }),
  fc.record({
    kind: fc.constant('op' as const),
    text: spoilt(configOf(0), ['routes.0', 'services.0', 'tenants.0', 'version']),
  }),
);

let count = 0;

async function cause(
  odd: typeof event extends fc.Arbitrary<infer Odd> ? Odd : never,
): Promise<void> {
  count += 1;
  switch (odd.kind) {
    case 'request':
      await ask(`odd-${count}`, odd.path, { ...modelFields, ...odd.fields });
      return;
    case 'answer':
      oddField = odd.field;
      oddStatus = odd.status;
      // A new start each time: an answer may have ended or held off the one before.
      fleet.store.put('servers', oddServer.id, { ...entryOf(oddServer.address), born: count });
      await pause(20);
      await ask(`odd-${count}`, '/odd/1', { 'deadline-ms': '400' });
      return;
    case 'datagram':
      peer.send(odd.text, settings().peerPort, settings().ip);
      return;
    case 'state':
      peerState = odd.text;
      peer.send(JSON.stringify({ ...report, members: null }), settings().peerPort, settings().ip);
      return;
    case 'servers':
    case 'routers':
      fleet.store.putRaw(odd.kind, 'odd-row', Buffer.from(odd.text));
      await pause(5);
      fleet.store.remove(odd.kind, 'odd-row');
      return;
    case 'op': {
      const version = `"version":${2 * count + 2}`;
      fleet.store.putRaw('op', 'config', Buffer.from(odd.text.replace('"version":0', version)));
      await pause(5);
      fleet.store.put('op', 'config', configOf(2 * count + 3));
    }
  }
}

test('no odd value of a requester, a server, a peer or the store costs another caller its answer', async () => {
  const lost = await lostBeside(async () => {
    await fc.assert(
      fc.asyncProperty(event, async (odd) => {
        await cause(odd);
        await pause(5);
      }),
      { seed: 39, numRuns: 400, endOnFailure: true },
    );
    await pause(300);
  });
  assert.deepEqual(lost, []);
  // Contained exceptions would be faults of decoders.
  for (const { settings: router } of fleet.routers) {
    const metrics = await fetch(`http://${router.ip}:${router.peerPort + 10}/metrics`);
    assert.doesNotMatch(await metrics.text(), /catkinwheel_faults_total\{.*\} [1-9]/);
  }
});
