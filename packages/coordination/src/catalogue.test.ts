import type { PlatformFailure, Transaction } from '@catkinwheel/protocol';
import {
  Clock,
  diffCatalogues,
  drainChange,
  emptyCatalogue,
  type Catalogue,
  type CatalogueChange,
  type ManualClock,
} from '@catkinwheel/state';
import { err, errAsync, okAsync, ResultAsync, type Result } from 'neverthrow';
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { CatalogueStore } from './catalogueStore.js';
import { FakeMetrics, FakeTable, eventLog, router, seededRandom } from './fakes.test.js';
import type { MemberState } from './membership.js';
import type { ObjectStore, Table } from './ports.js';
import { writeOnce } from './writeOnce.js';

/** What happens to the next write of a router. */
type Fault = 'none' | 'lostAfter' | 'lostBefore' | 'late' | 'lostAndDown';

/** Catalogue stores of several routers over one table, with a network that the test cuts. */
class Fleet {
  readonly clock: ManualClock = Clock.manual();
  readonly table = new FakeTable(this.clock);
  readonly stores = new Map<string, CatalogueStore>();
  readonly faults = new Map<string, Fault>();
  readonly metrics = new FakeMetrics();
  readonly objects = new Map<string, unknown>();
  cut: (a: string, b: string) => boolean = () => false;

  constructor(readonly t: TestContext) {}

  start(name: string): CatalogueStore {
    const end = new AbortController();
    const store = CatalogueStore.create({
      self: name,
      clock: this.clock,
      table: this.#path(name),
      objects: this.#objects(name),
      peers: {
        catalogueSince: (peer, revision) => {
          const other = this.stores.get(peer);
          if (other === undefined || this.cut(name, peer)) return errAsync('no link');
          return other.updateSince(revision);
        },
      },
      memberStates: () => this.#standings(name),
      metrics: this.metrics,
      eventLog,
      random: seededRandom(name.length),
      date: () => '2026-01-01T00:00:00Z',
    });
    this.stores.set(name, store);
    void store.run(end.signal);
    this.t.after(() => {
      end.abort();
    });
    return store;
  }

  async #write(name: string, transaction: Transaction): Promise<Result<never, PlatformFailure>> {
    const fault = this.faults.get(name);
    this.faults.delete(name);
    if (fault === 'lostAfter' || fault === 'lostAndDown') this.table.apply(transaction);
    if (fault === 'lostAndDown') this.table.paths.set(name, { kind: 'down' });
    if (fault === 'late') void this.clock.sleep(120).then(() => this.table.apply(transaction));
    await Promise.resolve();
    return err({ kind: 'unknown', detail: 'lost' });
  }

  #path(name: string): Table {
    const path = this.table.path(name);
    return {
      rows: (prefix) => path.rows(prefix),
      transact: (transaction) =>
        (this.faults.get(name) ?? 'none') === 'none'
          ? path.transact(transaction)
          : new ResultAsync(this.#write(name, transaction)),
    };
  }

  #objects(name: string): ObjectStore {
    const down = { kind: 'unavailable', detail: 'down' } as const;
    return {
      put: (key, value) => {
        if (!this.table.isOpen(name)) return errAsync(down);
        this.objects.set(key, JSON.parse(JSON.stringify(value)));
        return okAsync(undefined);
      },
      get: (key) => (this.table.isOpen(name) ? okAsync(this.objects.get(key)) : errAsync(down)),
    };
  }

  #standings(name: string): readonly MemberState[] {
    return [...this.stores]
      .filter(([other]) => other !== name)
      .map(([other, store]) => {
        const isCut = this.cut(name, other);
        return {
          router: router(other),
          phase: isCut ? 'dead' : 'alive',
          leaving: false,
          platform: true,
          revision: isCut ? 0 : store.current().revision,
          mayTakeWork: true,
        };
      });
  }
}

const base: Catalogue = {
  ...emptyCatalogue,
  services: { chat: { kind: 'plain', coldLimit: 1, warmLimit: 4 } },
  servers: {
    s1: { service: 'chat', address: '127.0.0.1:1', vm: 'v1', dataCentre: 'd1', checksFence: true },
  },
};

function team(weight: number): Catalogue['teams'][string] {
  const limits = { waiting: 1, waitingBytes: 1, inFlight: 1 };
  return { weight, keys: [], limits, waitAlarm: 1000 };
}

function adding(name: string, weight = 1): CatalogueChange {
  const next = { ...emptyCatalogue, teams: { [name]: team(weight) } };
  return diffCatalogues(emptyCatalogue, next);
}

async function founded(t: TestContext, ...names: string[]): Promise<Fleet> {
  const fleet = new Fleet(t);
  for (const name of names) fleet.start(name);
  await fleet.clock.advance(300);
  const first = await fleet.stores
    .get(names[0] ?? '')
    ?.apply(0, diffCatalogues(emptyCatalogue, base), 'op');
  assert.equal(first?._unsafeUnwrap(), 1);
  await fleet.clock.advance(300);
  return fleet;
}

function store(fleet: Fleet, name: string): CatalogueStore {
  const found = fleet.stores.get(name);
  assert.ok(found !== undefined);
  return found;
}

async function during<T>(fleet: Fleet, work: Promise<T>): Promise<T> {
  const [result] = await Promise.all([work, fleet.clock.advance(10_000)]);
  return result;
}

test('a change is in force everywhere within a second, and only then accepted', async (t) => {
  const fleet = await founded(t, 'a', 'b', 'c');
  const a = store(fleet, 'a');
  assert.equal((await a.apply(1, adding('t1'), 'op'))._unsafeUnwrap(), 2);
  assert.deepEqual(a.rolloutStatus(), { revision: 2, missing: ['b', 'c'] });
  await fleet.clock.advance(1000);
  assert.deepEqual(a.rolloutStatus(), { revision: 2, missing: [] });
  assert.ok(store(fleet, 'c').current().teams.t1 !== undefined);
});

test('of two operators who race on one revision, one commits and the other gets the conflict', async (t) => {
  const fleet = await founded(t, 'a', 'b');
  const results = await Promise.all([
    store(fleet, 'a').apply(1, adding('t1', 1), 'op1'),
    store(fleet, 'b').apply(1, adding('t1', 2), 'op2'),
  ]);
  assert.equal(results.filter((result) => result.isOk()).length, 1);
  const loser = results.find((result) => result.isErr());
  assert.deepEqual(loser?._unsafeUnwrapErr(), { kind: 'conflict', current: 2 });
  await fleet.clock.advance(3000);
  assert.deepEqual(store(fleet, 'a').current(), store(fleet, 'b').current());
});

const losses: readonly { readonly fault: Fault; readonly title: string }[] = [
  { fault: 'lostAfter', title: 'that took effect' },
  { fault: 'lostBefore', title: 'that did not take effect' },
  { fault: 'late', title: 'that takes effect after it was read back' },
];

for (const { fault, title } of losses) {
  test(`the lost answer of a write ${title} is settled as one commit`, async (t) => {
    const fleet = await founded(t, 'a', 'b');
    fleet.faults.set('a', fault);
    const result = await during(fleet, store(fleet, 'a').apply(1, adding('t1'), 'op'));
    assert.equal(result._unsafeUnwrap(), 2);
    const history = (await store(fleet, 'b').history())._unsafeUnwrap();
    assert.deepEqual(
      history.map(({ revision }) => revision),
      [2, 1],
    );
    assert.equal(store(fleet, 'b').current().revision, 2);
  });
}

test('a lost answer with the platform gone is reported as unknown and found out later', async (t) => {
  const fleet = await founded(t, 'a');
  fleet.faults.set('a', 'lostAndDown');
  const result = await during(fleet, store(fleet, 'a').apply(1, adding('t1'), 'op'));
  assert.equal(result._unsafeUnwrapErr().kind, 'unknown');
  assert.equal(store(fleet, 'a').current().revision, 1);
  fleet.table.paths.delete('a');
  await fleet.clock.advance(4000);
  assert.equal(store(fleet, 'a').current().revision, 2);
});

test('a write whose row another writer replaced meanwhile is a conflict, not a success', async () => {
  const clock = Clock.manual();
  const table = new FakeTable(clock);
  const transaction = {
    checks: [{ key: 'k', version: 0 }],
    puts: [{ key: 'k', value: { write: 'mine' } }],
    deletes: [],
  };
  const other = { ...transaction, puts: [{ key: 'k', value: { write: 'other' } }] };
  const lossy: Table = {
    rows: (prefix) => table.path('a').rows(prefix),
    transact: () => {
      table.apply(other);
      return errAsync({ kind: 'unknown', detail: 'lost' });
    },
  };
  const result = await writeOnce(lossy, clock, transaction, { key: 'k', write: 'mine' });
  assert.equal(result._unsafeUnwrapErr().kind, 'conflict');
});

test('a catalogue never goes to a lower revision, whatever a peer or the platform shows', async (t) => {
  const fleet = await founded(t, 'a', 'b');
  await store(fleet, 'a').apply(1, adding('t1'), 'op');
  await fleet.clock.advance(1000);
  const head = fleet.table.rows.get('catalogue/head');
  assert.ok(head !== undefined);
  fleet.table.rows.set('catalogue/head', {
    ...head,
    value: { revision: 1, write: 'x', snapshot: null },
  });
  await fleet.clock.advance(10_000);
  assert.equal(store(fleet, 'a').current().revision, 2);
  assert.equal(store(fleet, 'b').current().revision, 2);
});

test('during an outage a restarted router serves nothing until a peer gives it the catalogue', async (t) => {
  const fleet = await founded(t, 'a');
  await store(fleet, 'a').apply(1, adding('t1'), 'op');
  fleet.table.paths.set('b', { kind: 'down' });
  fleet.cut = () => true;
  const b = fleet.start('b');
  await fleet.clock.advance(5000);
  assert.equal(b.isReady(), false);
  assert.ok((await b.updateSince(0)).isErr());
  fleet.cut = () => false;
  await fleet.clock.advance(500);
  assert.equal(b.current().revision, 2);
  const refused = await b.apply(2, adding('t2'), 'op');
  assert.equal(refused._unsafeUnwrapErr().kind, 'unavailable');
});

test('in a partition a change is committed but not accepted until the cut off router rejoins', async (t) => {
  const fleet = await founded(t, 'a', 'b', 'c');
  fleet.cut = (x, y) => x === 'c' || y === 'c';
  fleet.table.paths.set('c', { kind: 'down' });
  const a = store(fleet, 'a');
  for (let revision = 1; revision <= 5; revision++) {
    assert.ok((await a.apply(revision, adding(`t${revision}`), 'op')).isOk());
  }
  await fleet.clock.advance(60_000);
  assert.deepEqual(a.rolloutStatus(), { revision: 6, missing: ['c'] });
  assert.equal(store(fleet, 'c').current().revision, 1);
  fleet.cut = () => false;
  await fleet.clock.advance(1000);
  assert.deepEqual(a.rolloutStatus(), { revision: 6, missing: [] });
});

test('a router far behind catches up by the snapshot of the platform and the changes since', async (t) => {
  const fleet = await founded(t, 'a');
  const a = store(fleet, 'a');
  for (let revision = 1; revision < 200; revision++) {
    assert.ok((await a.apply(revision, adding(`t${revision % 5}`, revision), 'op')).isOk());
  }
  fleet.cut = () => true;
  const b = fleet.start('b');
  await fleet.clock.advance(500);
  assert.deepEqual(b.current(), a.current());
});

test('a change too large for a row is found in its snapshot', async (t) => {
  const fleet = await founded(t, 'a');
  const teams = Object.fromEntries(
    Array.from({ length: 3000 }, (_, index) => [`t${index}`, team(1)]),
  );
  const change = diffCatalogues(emptyCatalogue, { ...emptyCatalogue, teams });
  assert.ok((await store(fleet, 'a').apply(1, change, 'op')).isOk());
  assert.ok(
    [...fleet.table.rows.values()].every(({ value }) => JSON.stringify(value).length < 1000),
  );
  fleet.cut = () => true;
  const b = fleet.start('b');
  await fleet.clock.advance(500);
  assert.deepEqual(b.current(), store(fleet, 'a').current());
});

test('an invalid change is refused with the path of the wrong value and nothing is written', async (t) => {
  const fleet = await founded(t, 'a');
  const a = store(fleet, 'a');
  const wrong = {
    ...base,
    services: { chat: { kind: 'plain' as const, coldLimit: 0, warmLimit: 4 } },
  };
  const result = await a.apply(1, diffCatalogues(base, wrong), 'op');
  const failure = result._unsafeUnwrapErr();
  assert.ok(failure.kind === 'invalid');
  assert.deepEqual(failure.problems[0]?.path, ['services', 'chat', 'coldLimit']);
  assert.equal(a.current().revision, 1);
});

test('two drains at once both take effect', async (t) => {
  const fleet = await founded(t, 'a', 'b');
  const results = await Promise.all(
    ['a', 'b'].map((name) =>
      store(fleet, name).amend(
        (catalogue) => drainChange(catalogue, { kind: 'vm', name: `vm-${name}` }, true),
        'op',
      ),
    ),
  );
  assert.ok(results.every((result) => result.isOk()));
  await fleet.clock.advance(1000);
  assert.deepEqual(store(fleet, 'a').current().drain.vms, ['vm-a', 'vm-b']);
});

test('a drain and its end are changes like any other', async (t) => {
  const fleet = await founded(t, 'a');
  const a = store(fleet, 'a');
  const target = { kind: 'dataCentre', name: 'd1' } as const;
  await a.apply(1, drainChange(a.current(), target, true), 'op');
  assert.deepEqual(a.current().drain.dataCentres, ['d1']);
  await a.apply(2, drainChange(a.current(), target, false), 'op');
  assert.deepEqual(a.current().drain.dataCentres, []);
  assert.equal(
    (await a.apply(3, drainChange(a.current(), target, false), 'op'))._unsafeUnwrap(),
    3,
  );
});

for (const seed of [1, 2, 3, 4, 5]) {
  test(`racing changes under random faults keep one history everywhere (seed ${seed})`, async (t) => {
    const random = seededRandom(seed);
    const names = ['a', 'b', 'c'];
    const fleet = await founded(t, ...names);
    const committed = new Map<number, string>();
    const seen = new Map<string, number>();
    const operator = async (name: string): Promise<void> => {
      for (let round = 0; round < 15; round++) {
        await fleet.clock.sleep(random() * 400);
        const fault = (['none', 'none', 'lostAfter', 'lostBefore', 'late'] as const)[
          Math.floor(random() * 5)
        ];
        fleet.faults.set(name, fault ?? 'none');
        const id = `${name}${round}`;
        const result = await store(fleet, name).apply(
          store(fleet, name).current().revision,
          adding(id),
          id,
        );
        if (result.isErr()) continue;
        assert.equal(committed.has(result.value), false, 'two commits of one revision');
        committed.set(result.value, id);
      }
    };
    const isolated = (at: number): string => names[Math.floor(at / 1500) % 4] ?? '';
    fleet.cut = (x, y) => x === isolated(fleet.clock.now()) || y === isolated(fleet.clock.now());
    const operators = Promise.all(names.map(operator));
    for (let step = 0; step < 300; step++) {
      await fleet.clock.advance(100);
      for (const [name, each] of fleet.stores) {
        const { revision } = each.current();
        assert.ok(revision >= (seen.get(name) ?? 0), 'a revision went back');
        seen.set(name, revision);
      }
    }
    await operators;
    fleet.cut = () => false;
    await fleet.clock.advance(5000);
    const history = (await store(fleet, 'a').history())._unsafeUnwrap();
    for (const [revision, id] of committed) {
      assert.equal(history.find((record) => record.revision === revision)?.author, id);
      assert.ok(store(fleet, 'a').current().teams[id] !== undefined);
    }
    for (const name of names)
      assert.deepEqual(store(fleet, name).current(), store(fleet, 'a').current());
    assert.ok(committed.size > 10);
  });
}

/** A catalogue with two keys for each team. */
function sized(teams: number, servers: number, entries: number): Catalogue {
  const numbered = <T>(size: number, value: (index: number) => T): Readonly<Record<string, T>> =>
    Object.fromEntries(Array.from({ length: size }, (_, index) => [`name-${index}`, value(index)]));
  const key = (index: number): string => index.toString(16).padStart(64, '0');
  return {
    ...base,
    servers: numbered(servers, (index) => ({
      service: 'chat',
      address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}:8000`,
      vm: `vm-${index}`,
      dataCentre: `dc-${index % 30}`,
      checksFence: true,
    })),
    teams: numbered(teams, (index) => ({ ...team(1), keys: [key(2 * index), key(2 * index + 1)] })),
    entries: numbered(entries, (index) => ({
      team: `name-${index % teams}`,
      service: 'chat',
      class: 'interactive',
      idempotent: true,
      maxWait: 60_000,
      maxRun: 600_000,
    })),
  };
}

const sizes = [
  { title: 'today', catalogue: sized(16, 12, 48) },
  { title: 'the size to come', catalogue: sized(18_000, 10_000, 36_000) },
];

for (const { title, catalogue } of sizes) {
  test(`at ${title} a small change costs its own size and not that of the catalogue`, async (t) => {
    const fleet = await founded(t, 'a');
    const a = store(fleet, 'a');
    assert.ok((await a.apply(1, diffCatalogues(base, catalogue), 'op')).isOk());
    assert.ok((await a.apply(2, adding('name-3', 2), 'op')).isOk());
    const change = (await a.updateSince(2))._unsafeUnwrap();
    const bytes = JSON.stringify(change).length;
    t.diagnostic(`${title}: change ${bytes} B, snapshot ${JSON.stringify(a.current()).length} B`);
    assert.equal(change.kind, 'changes');
    assert.ok(bytes < 1000);
  });
}
