import type { Heartbeat, KeeperState, Message, Row } from '@catkinwheel/protocol';
import { Clock, type ManualClock, type Router } from '@catkinwheel/state';
import { errAsync, okAsync } from 'neverthrow';
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { Membership } from './membership.js';

/** Routers that exchange heartbeats over a network and a table that the test controls. */
class Fleet {
  readonly clock: ManualClock = Clock.manual();
  readonly rows = new Map<string, Row>();
  readonly nodes = new Map<
    string,
    { readonly membership: Membership; readonly end: AbortController }
  >();
  readonly notes: string[] = [];
  cut: (from: string, to: string) => boolean = () => false;
  platform = true;

  constructor(readonly t: TestContext) {}

  start(name: string, incarnation = `${name}-1`, keepers: readonly KeeperState[] = []): Membership {
    const self = router(name, incarnation);
    const end = new AbortController();
    const membership = Membership.create({
      self,
      clock: this.clock,
      table: {
        transact: () => errAsync({ kind: 'unavailable', detail: '' }),
        rows: () =>
          this.platform
            ? okAsync([...this.rows.values()])
            : errAsync({ kind: 'unavailable', detail: '' }),
      },
      outbox: {
        send: (to, message) => {
          this.deliver(name, to, message);
        },
      },
      links: { connect: () => undefined },
      keepers: () => keepers,
      floors: () => [{ service: 'chat', level: name.length }],
      revision: () => 1,
      platform: () => this.platform,
      metrics: { count: () => undefined, gauge: () => undefined, timing: () => undefined },
      eventLog: {
        record: (event, fields) => this.notes.push(`${name}: ${event} ${JSON.stringify(fields)}`),
      },
    });
    this.nodes.set(name, { membership, end });
    void membership.run(end.signal);
    this.t.after(() => {
      end.abort();
    });
    return membership;
  }

  stop(name: string): void {
    this.nodes.get(name)?.end.abort();
    this.nodes.delete(name);
  }

  renew(name: string, version: number, incarnation = `${name}-1`): void {
    const key = `session/${name}`;
    const value = { router: router(name, incarnation), renewal: version, released: false };
    this.rows.set(key, { key, version, value });
  }

  deliver(from: string, to: string, message: Message): void {
    if (this.cut(from, to) || message.kind !== 'heartbeat') return;
    const copy = JSON.parse(JSON.stringify(message)) as Heartbeat;
    queueMicrotask(() => this.nodes.get(to)?.membership.receive(from, copy));
  }
}

function router(name: string, incarnation = `${name}-1`): Router {
  const address = `127.0.0.1:${name.length}`;
  return { name, incarnation, vm: name, dataCentre: 'dc', address, peerAddress: address };
}

function keeper(
  server: string,
  fence: number,
  authority: KeeperState['authority'] = 'held',
): KeeperState {
  return {
    server,
    service: 'chat',
    fence,
    authority,
    phase: 'warm',
    limit: 4,
    inFlight: 0,
    boot: 'b',
  };
}

function beat(name: string, incarnation: string, keepers: readonly KeeperState[] = []): Heartbeat {
  const common = { revision: 1, platform: true, leaving: false, floors: [], members: [] };
  return { kind: 'heartbeat', router: router(name, incarnation), keepers, ...common };
}

const names = (membership: Membership): string =>
  membership
    .alive()
    .map(({ name }) => name)
    .join(' ');
const kept = (membership: Membership): readonly string[] =>
  membership.keepers('chat').map(({ router, state }) => `${router} ${state.server} ${state.fence}`);

test('a router alone serves at once: it is alive, with its own keepers and floor', (t) => {
  const fleet = new Fleet(t);
  fleet.platform = false;
  const a = fleet.start('a', 'a-1', [keeper('s1', 1)]);
  assert.equal(names(a), 'a');
  assert.deepEqual(kept(a), ['a s1 1']);
  assert.equal(a.minLevel('chat'), 1);
  assert.equal(a.minLevel('other'), undefined);
});

test('routers that a peer names become known without the platform', async (t) => {
  const fleet = new Fleet(t);
  fleet.platform = false;
  const [a, b, c] = [fleet.start('a'), fleet.start('b'), fleet.start('c')];
  a.addDiscovered(router('b'));
  b.addDiscovered(router('c'));
  await fleet.clock.advance(1500);
  for (const each of [a, b, c]) assert.equal(names(each), 'a b c');
});

test('a partition makes the others suspect after 1.5 s and dead after 3 s; a rejoin heals it', async (t) => {
  const fleet = new Fleet(t);
  const [a, b] = [fleet.start('a'), fleet.start('b', 'b-1', [keeper('s1', 1)])];
  a.addDiscovered(router('b'));
  await fleet.clock.advance(1000);
  assert.equal(names(a), 'a b');
  fleet.cut = () => true;
  await fleet.clock.advance(1400);
  assert.equal(names(a), 'a b');
  await fleet.clock.advance(200);
  assert.equal(names(a), 'a');
  assert.deepEqual(kept(a), ['b s1 1']);
  await fleet.clock.advance(2000);
  assert.deepEqual(kept(a), []);
  assert.equal(a.memberStates()[0]?.phase, 'dead');
  fleet.cut = () => false;
  await fleet.clock.advance(600);
  assert.equal(names(a), 'a b');
  assert.equal(names(b), 'a b');
  await fleet.clock.advance(500);
  const states = fleet.notes.filter((note) => note.startsWith('a: router state'));
  assert.equal(states.length, 4, 'one note for each change of state');
});

test('a restarted router replaces its old incarnation at once; late heartbeats of it are ignored', async (t) => {
  const fleet = new Fleet(t);
  const a = fleet.start('a');
  a.receive('b', beat('b', 'b-1', [keeper('s1', 3)]));
  assert.deepEqual(kept(a), ['b s1 3']);
  a.receive('b', beat('b', 'b-2'));
  assert.deepEqual(kept(a), []);
  a.receive('b', beat('b', 'b-1', [keeper('s1', 3)]));
  assert.deepEqual(kept(a), []);
  assert.equal(a.alive()[1]?.incarnation, 'b-2');
  await fleet.clock.advance(0);
});

test('a heartbeat under another name than its sender’s is ignored', (t) => {
  const a = new Fleet(t).start('a');
  a.receive('c', beat('b', 'b-1'));
  assert.equal(names(a), 'a');
});

test('a session row that lags does not bring back a replaced incarnation', async (t) => {
  const fleet = new Fleet(t);
  fleet.renew('b', 1, 'b-1');
  const a = fleet.start('a');
  a.receive('b', beat('b', 'b-1'));
  a.receive('b', beat('b', 'b-2'));
  await fleet.clock.advance(5000);
  assert.equal(a.memberStates()[0]?.router.incarnation, 'b-2');
  fleet.renew('b', 2, 'b-3');
  await fleet.clock.advance(1100);
  assert.equal(
    a.memberStates()[0]?.router.incarnation,
    'b-3',
    'a new row of a dead router is taken',
  );
});

test('a router may take work while its session is renewed, though it is not heard', async (t) => {
  const fleet = new Fleet(t);
  const a = fleet.start('a');
  for (let version = 1; version <= 6; version++) {
    fleet.renew('b', version);
    await fleet.clock.advance(1000);
  }
  assert.equal(a.memberStates()[0]?.mayTakeWork, true);
  fleet.platform = false;
  await fleet.clock.advance(10_000);
  assert.equal(a.memberStates()[0]?.mayTakeWork, true, 'renewals cannot be seen during an outage');
  fleet.platform = true;
  await fleet.clock.advance(2000);
  assert.equal(a.memberStates()[0]?.mayTakeWork, true, 'it has a TTL to renew after the outage');
  await fleet.clock.advance(3000);
  assert.equal(a.memberStates()[0]?.mayTakeWork, false);
  await fleet.clock.advance(61_000);
  assert.deepEqual(a.memberStates(), [], 'forgotten at last');
});

test('a keeper with a higher fence replaces the one with a lower, in any order of arrival', (t) => {
  const fleet = new Fleet(t);
  const a = fleet.start('a', 'a-1', [keeper('s1', 2), keeper('s2', 9)]);
  a.receive('b', beat('b', 'b-1', [keeper('s1', 3), keeper('s2', 8)]));
  assert.deepEqual([...kept(a)].sort(), ['a s2 9', 'b s1 3']);
  a.receive('b', beat('b', 'b-1', []));
  assert.deepEqual(kept(a), ['a s2 9'], 'the lower fence stays replaced');
});

test('of two keepers with one fence the one with a lease counts', (t) => {
  const a = new Fleet(t).start('a');
  a.receive('b', beat('b', 'b-1', [keeper('s1', 3, 'held')]));
  a.receive('c', beat('c', 'c-1', [keeper('s1', 3, 'acting')]));
  assert.deepEqual(kept(a), ['b s1 3']);
});

test('leaving is told at once', async (t) => {
  const fleet = new Fleet(t);
  const [a, b] = [fleet.start('a'), fleet.start('b')];
  a.addDiscovered(router('b'));
  await fleet.clock.advance(600);
  assert.equal(b.isLeaving('a'), false);
  a.setLeaving();
  await fleet.clock.advance(1);
  assert.equal(b.isLeaving('a'), true);
  assert.equal(a.isLeaving('a'), true);
});

test('members are named after a change and seldom otherwise', async (t) => {
  const fleet = new Fleet(t);
  const a = fleet.start('a');
  fleet.start('b');
  let named = 0;
  let beats = 0;
  const deliver = fleet.deliver.bind(fleet);
  fleet.deliver = (from, to, message) => {
    if (from === 'a' && message.kind === 'heartbeat') {
      beats += 1;
      named += message.members.length > 0 ? 1 : 0;
    }
    deliver(from, to, message);
  };
  a.addDiscovered(router('b'));
  await fleet.clock.advance(10_000);
  assert.ok(beats >= 20 && named >= 2 && named <= 5, `${named} of ${beats}`);
});
