// A stand-in for the platform: table service, object store and VM list, with the outages, lost
// answers and rate limits that the real one has.

import { Clock, type Milliseconds } from '@catkinwheel/state';
import type { Row, Transaction, Vm } from '@catkinwheel/protocol';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { HttpBindings } from '@hono/node-server';
import { Hono, type Context } from 'hono';
import { endWithParent, Listener, say, settingsFrom } from './process.js';

export interface PlatformSettings {
  /** Writes and reads per second above which requests get 429. */
  readonly writes: number;
  readonly reads: number;
  readonly vms: readonly Vm[];
}

const defaults: PlatformSettings = { writes: 300, reads: 2_000, vms: [] };

/** What tests can make the platform do. Absent fields stay as they are. */
export interface PlatformControl {
  readonly outage?: 'none' | 'refuse' | 'hang';
  /** Time added to every request. */
  readonly slow?: Milliseconds;
  /** Share of writes that take effect although their answer is cut off. */
  readonly loseAnswers?: number;
  /** Time after which a change of the VM list is visible. */
  readonly vmLag?: Milliseconds;
  readonly vms?: readonly Vm[];
}

export interface PlatformStats {
  readonly writes: number;
  readonly reads: number;
  readonly peakWrites: number;
  readonly peakReads: number;
  readonly refused: number;
  readonly lost: number;
}

interface Bindings {
  Bindings: HttpBindings;
}

/** Requests of one kind, with a budget per second. */
class Budget {
  readonly #perSecond: number;
  readonly #clock: Clock;
  #second = 0;
  #inSecond = 0;
  total = 0;
  peak = 0;
  refused = 0;

  private constructor(perSecond: number, clock: Clock) {
    this.#perSecond = perSecond;
    this.#clock = clock;
  }

  static create(perSecond: number, clock: Clock): Budget {
    return new Budget(perSecond, clock);
  }

  /** Counts a request; false if it is over the budget. */
  spend(): boolean {
    const second = Math.floor(this.#clock.now() / 1_000);
    if (second !== this.#second) this.#inSecond = 0;
    this.#second = second;
    this.#inSecond += 1;
    this.total += 1;
    this.peak = Math.max(this.peak, this.#inSecond);
    if (this.#inSecond <= this.#perSecond) return true;
    this.refused += 1;
    return false;
  }
}

const settings = settingsFrom(defaults);
const clock = Clock.system();
const rows = new Map<string, Row>();
const objects = new Map<string, unknown>();
const writes = Budget.create(settings.writes, clock);
const reads = Budget.create(settings.reads, clock);
let version = 0;
let vms: readonly Vm[] = settings.vms;
let vmLag: Milliseconds = 0;
let isHanging = false;
let slow: Milliseconds = 0;
let loseAnswers = 0;
let loss = 0;
let lost = 0;

const app = new Hono<Bindings>();

app.use('*', async (c, next) => {
  if (slow > 0) await clock.sleep(slow);
  // A request that hangs has no effect; the end of the outage cuts its connection.
  if (isHanging) await new Promise(() => undefined);
  const isWrite = c.req.method !== 'GET';
  if (!(isWrite ? writes : reads).spend()) return c.json({ error: 'over budget' }, 429);
  await next();
  return undefined;
});

app.post('/v1/table/transact', async (c) => {
  const transaction = await c.req.json<Transaction>();
  const conflicts = transaction.checks
    .filter((check) => (rows.get(check.key)?.version ?? 0) !== check.version)
    .map((check) => check.key);
  if (conflicts.length > 0) return answered(c, c.json({ conflicts }, 409));
  version += 1;
  for (const { key, value } of transaction.puts) rows.set(key, { key, version, value });
  for (const key of transaction.deletes) rows.delete(key);
  return answered(c, c.json({ version }));
});

app.get('/v1/table/rows', (c) => {
  const key = c.req.query('key');
  if (key !== undefined) {
    const row = rows.get(key);
    return c.json({ rows: row === undefined ? [] : [row] });
  }
  const prefix = c.req.query('prefix') ?? '';
  const found = [...rows.values()].filter((row) => row.key.startsWith(prefix));
  return c.json({ rows: found.sort((a, b) => (a.key < b.key ? -1 : 1)) });
});

app.get('/v1/objects/:key{.+}', (c) => {
  const key = c.req.param('key');
  if (!objects.has(key)) return c.json({ error: 'no such object' }, 404);
  return c.json(objects.get(key) as object);
});

app.put('/v1/objects/:key{.+}', async (c) => {
  objects.set(c.req.param('key'), await c.req.json());
  return answered(c, c.json({}));
});

app.get('/v1/vms', (c) => c.json(vms));

const control = new Hono();

control.post('/control', async (c) => {
  const asked = await c.req.json<PlatformControl>();
  slow = asked.slow ?? slow;
  loseAnswers = asked.loseAnswers ?? loseAnswers;
  vmLag = asked.vmLag ?? vmLag;
  const changed = asked.vms;
  if (changed !== undefined) setTimeout(() => (vms = changed), vmLag);
  if (asked.outage !== undefined) await turn(asked.outage);
  return c.json({});
});

control.get('/control/stats', (c) => {
  const stats: PlatformStats = {
    writes: writes.total,
    reads: reads.total,
    peakWrites: writes.peak,
    peakReads: reads.peak,
    refused: writes.refused + reads.refused,
    lost,
  };
  return c.json(stats);
});

control.get('/control/rows', (c) => c.json([...rows.values()]));

/** Gives the answer to a write, or cuts the connection if this answer is to be lost. */
function answered(c: Context<Bindings>, answer: Response): Response {
  loss += loseAnswers;
  if (loss < 1) return answer;
  loss -= 1;
  lost += 1;
  c.env.incoming.socket.destroy();
  return RESPONSE_ALREADY_SENT;
}

async function turn(outage: 'none' | 'refuse' | 'hang'): Promise<void> {
  if (isHanging) listener.cut();
  isHanging = outage === 'hang';
  if (outage === 'refuse') await listener.refuse();
  else await listener.open();
}

const listener = await Listener.create(app);
const controls = await Listener.create(control);
endWithParent();
say({ event: 'ready', address: listener.address, control: controls.address });
