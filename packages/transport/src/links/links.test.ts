import { protocolVersion, type Heartbeat, type Message } from '@catkinwheel/protocol';
import { Clock, type Release, type Router } from '@catkinwheel/state';
import { okAsync } from 'neverthrow';
import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { test, type TestContext } from 'node:test';
import { WebSocket } from 'ws';
import { Links } from './links.js';

const clock = Clock.system();

interface Party {
  readonly router: Router;
  readonly links: Links;
  readonly received: { readonly from: string; readonly message: Message; readonly at: number }[];
  readonly met: string[];
  readonly counts: Map<string, number>;
}

/** A router with links that records what it receives. */
async function party(
  t: TestContext,
  name: string,
  settings: { readonly secret?: string; readonly seeds?: readonly string[] } = {},
): Promise<Party> {
  const counts = new Map<string, number>();
  const links = (
    await Links.listen({
      host: '127.0.0.1',
      port: 0,
      secret: settings.secret ?? 'secret',
      seeds: settings.seeds ?? [],
      metrics: {
        count: (metric, tags = {}, amount = 1) => {
          const key = [metric, ...Object.values(tags)].join(' ');
          counts.set(key, (counts.get(key) ?? 0) + amount);
        },
      },
      eventLog: { record: () => undefined },
    })
  )._unsafeUnwrap();
  const peerAddress = links.address;
  const router = identity(name, peerAddress);
  const received: Party['received'] = [];
  const met: string[] = [];
  const end = new AbortController();
  const handlers = {
    deliver: (from: string, message: Message) => {
      if (message.kind === 'takeover') throw new Error('a fault in a handler');
      received.push({ from, message, at: clock.now() });
    },
    catalogueSince: () => okAsync({ kind: 'changes' as const, changes: [] }),
    relay: () => okAsync({ version: 7 }),
    rows: (_from: string, prefix: string) => okAsync([{ key: `${prefix}k`, version: 1, value: 2 }]),
    status: () => ({ name }),
    peerIdentified: (other: Router) => {
      met.push(other.name);
    },
  };
  const running = links.start(router, handlers, end.signal);
  t.after(async () => {
    end.abort();
    await running;
  });
  return { router, links, received, met, counts };
}

function identity(name: string, peerAddress: string): Router {
  const place = { vm: `vm-${name}`, dataCentre: 'dc', address: '127.0.0.1:1' };
  return { name, incarnation: `${name}-1`, peerAddress, ...place };
}

function heartbeat(router: Router): Heartbeat {
  const lists = { keepers: [], floors: [], members: [] };
  return { kind: 'heartbeat', router, revision: 1, platform: true, leaving: false, ...lists };
}

function release(id: string): Message {
  const permit: Release = { id, server: 's', outcome: 'used', firstByte: 1, cost: 1 };
  return { kind: 'release', permits: [permit] };
}

async function until(condition: () => boolean, limit: number): Promise<void> {
  const end = clock.now() + limit;
  while (!condition() && clock.now() < end) await clock.sleep(10);
  assert.ok(condition(), `condition not met within ${limit} ms`);
}

/** Forwards TCP to `target` until it is told to stop forwarding on the connections it then has. */
async function relay(t: TestContext, target: string): Promise<{ address: string; mute(): void }> {
  const [host = '', port = ''] = target.split(':');
  const pairs: (readonly [Socket, Socket])[] = [];
  const server: Server = createServer((inner) => {
    const outer = connect(Number(port), host);
    for (const [from, to] of [
      [inner, outer],
      [outer, inner],
    ] as const) {
      from.on('data', (data) => to.write(data));
      from.on('close', () => to.destroy());
      from.on('error', () => to.destroy());
    }
    pairs.push([inner, outer]);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    for (const socket of pairs.flat()) socket.destroy();
    server.close();
  });
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const mute = (): void => {
    for (const socket of pairs.splice(0).flat())
      socket.removeAllListeners('data').on('data', () => undefined);
  };
  return { address, mute };
}

test('messages arrive in order, whole and from the identified peer', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b');
  a.links.connect([a.router, b.router]);
  for (let index = 0; index < 500; index++) a.links.send('b', release(`p${index}`));
  await until(() => b.received.length === 500, 2000);
  const ids = b.received.map(({ from, message }) =>
    message.kind === 'release' ? `${from} ${message.permits[0]?.id ?? ''}` : '',
  );
  assert.deepEqual(
    ids,
    Array.from({ length: 500 }, (_, index) => `a p${index}`),
  );
  assert.deepEqual(b.met, ['a']);
  assert.deepEqual(a.met, ['b']);
});

test('a message to the own name is delivered later, not within send', async (t) => {
  const a = await party(t, 'a');
  a.links.send('a', heartbeat(a.router));
  assert.equal(a.received.length, 0);
  await Promise.resolve();
  assert.equal(a.received.length, 1);
});

test('a fault in the handling of one message loses no other message', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b');
  a.links.connect([b.router]);
  for (const to of ['a', 'b']) {
    a.links.send(to, { kind: 'takeover', server: 's', fence: 1 });
    a.links.send(to, release('after'));
  }
  await until(() => a.received.length === 1 && b.received.length === 1, 2000);
  assert.equal(a.counts.get('peer.handlerFailed takeover'), 1);
  assert.equal(b.counts.get('peer.handlerFailed takeover'), 1);
});

test('requests are answered by the peer, and fail at once without a link', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b');
  const transaction = { checks: [], puts: [{ key: 'k', value: 1 }], deletes: [] };
  assert.equal((await a.links.transact('b', transaction))._unsafeUnwrapErr().kind, 'unavailable');
  a.links.connect([b.router]);
  await until(() => a.met.length === 1, 2000);
  assert.deepEqual((await a.links.transact('b', transaction))._unsafeUnwrap(), { version: 7 });
  assert.equal((await a.links.rows('b', 'x/'))._unsafeUnwrap()[0]?.key, 'x/k');
  assert.deepEqual((await a.links.status('b'))._unsafeUnwrap(), { name: 'b' });
  assert.equal((await a.links.catalogueSince('b', 3))._unsafeUnwrap().kind, 'changes');
});

test('a seed makes both routers known to each other without the platform', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b', { seeds: [a.links.address] });
  await until(() => a.met.includes('b') && b.met.includes('a'), 2000);
});

test('a connection that goes silent is replaced within 3 s and releases are not lost', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b');
  const between = await relay(t, b.links.address);
  a.links.connect([identity('b', between.address)]);
  a.links.send('b', release('first'));
  await until(() => b.received.length === 1, 2000);
  between.mute();
  const muted = clock.now();
  a.links.send('b', release('lost on the silent connection'));
  const beat = setInterval(() => {
    a.links.send('b', heartbeat(a.router));
  }, 500);
  t.after(() => {
    clearInterval(beat);
  });
  await until(() => b.received.some(({ message }) => message.kind === 'heartbeat'), 3500);
  const first = b.received.find(({ message }) => message.kind === 'heartbeat');
  assert.ok((first?.at ?? Infinity) - muted < 3000, `took ${(first?.at ?? 0) - muted} ms`);
  const ids = b.received.flatMap(({ message }) =>
    message.kind === 'release' ? message.permits.map(({ id }) => id) : [],
  );
  // The acknowledgement of the first may be lost as well; it then arrives twice, which is allowed.
  assert.deepEqual([...new Set(ids)], ['first', 'lost on the silent connection']);
  assert.equal(a.counts.get('peer.silent'), 1);
});

test('a peer with a wrong secret is refused, counted and cut off', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b', { secret: 'other' });
  b.links.connect([a.router]);
  b.links.send('a', heartbeat(b.router));
  await until(() => a.counts.get('peer.refused secret') === 1, 2000);
  await until(() => b.counts.get('peer.refusedBy') === 1, 2000);
  assert.equal(a.received.length, 0);
});

test('a router found at another router’s address is not taken for it', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b');
  a.links.connect([identity('c', b.links.address)]);
  a.links.send('c', heartbeat(a.router));
  await until(() => a.counts.get('peer.refused identity') === 1, 2000);
  assert.equal(b.received.length, 0);
});

function envelope(path: string, input: unknown): string {
  return JSON.stringify({ id: 1, method: 'mutation', params: { path, input } });
}

function hello(changes: object): string {
  const router = identity('x', '127.0.0.1:9');
  return envelope('hello', { version: protocolVersion, secret: 'secret', router, ...changes });
}

const badFrames: readonly {
  title: string;
  frames: readonly string[];
  reason: string;
  answer: RegExp;
}[] = [
  { title: 'garbage', frames: ['}{'], reason: 'malformed', answer: /error/ },
  {
    title: 'another version',
    frames: [hello({ version: 99 })],
    reason: 'version',
    answer: /version 99/,
  },
  {
    title: 'an unknown field',
    frames: [hello({ extra: 1 })],
    reason: 'malformed',
    answer: /extra: unknown field/,
  },
  {
    title: 'deliver before hello',
    frames: [envelope('deliver', [])],
    reason: 'stranger',
    answer: /hello must come/,
  },
  {
    title: 'an ill-typed message',
    frames: [hello({}), `7\n["takeover","s","1"]`],
    reason: 'malformed',
    answer: /message fence: expected a whole number/,
  },
  {
    title: 'an oversized frame',
    frames: ['x'.repeat(5 * 1024 * 1024)],
    reason: 'oversized',
    answer: /^/,
  },
];

for (const { title, frames, reason, answer } of badFrames) {
  test(`a peer that sends ${title} gets a clear error, is counted and cut off`, async (t) => {
    const a = await party(t, 'a');
    const socket = new WebSocket(`ws://${a.links.address}`);
    const answers: string[] = [];
    socket.on('message', (data: Buffer) => answers.push(data.toString()));
    socket.on('error', () => undefined);
    const closed = new Promise((resolve) => socket.on('close', resolve));
    await new Promise((resolve) => socket.on('open', resolve));
    for (const [index, frame] of frames.entries()) {
      await until(() => answers.length === index, 2000);
      socket.send(frame);
    }
    await closed;
    assert.equal(a.counts.get(`peer.refused ${reason}`), 1);
    assert.match(answers.at(-1) ?? '', answer);
    assert.equal(a.received.length, 0);
  });
}

test('bytes and messages are counted by kind and direction, frames included', async (t) => {
  const a = await party(t, 'a');
  const b = await party(t, 'b');
  a.links.connect([b.router]);
  a.links.send('b', heartbeat(a.router));
  a.links.send('b', release('p'));
  await until(() => b.received.length === 2, 2000);
  const sent = a.links.traffic().filter(({ direction }) => direction === 'out');
  const got = b.links.traffic().filter(({ direction }) => direction === 'in');
  for (const kind of ['heartbeat', 'release']) {
    const out = sent.find((count) => count.kind === kind);
    assert.equal(out?.messages, 1);
    assert.deepEqual(
      { ...out, direction: 'in' },
      got.find((count) => count.kind === kind),
    );
  }
  assert.ok((sent.find(({ kind }) => kind === 'frame')?.bytes ?? 0) > 100);
});
