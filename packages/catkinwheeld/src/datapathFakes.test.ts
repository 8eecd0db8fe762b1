// Test fixture: a router's data path from callers to servers, with a permit source that grants at once and
// no platform.
import { createHash } from 'node:crypto';
import type { AddressInfo, Server } from 'node:net';
import { after } from 'node:test';
import { Claims, Executor, type PermitSource, type Table } from '@catkinwheel/coordination';
import type { Row } from '@catkinwheel/protocol';
import { Clock, emptyCatalogue, type Catalogue, type Entry } from '@catkinwheel/state';
import { Frontend, HttpBackend } from '@catkinwheel/transport';
import { errAsync, okAsync } from 'neverthrow';

const key = 'secret-key';
/** Header fields of a caller of the only team. */
export const headers = { authorization: `Bearer ${key}` };

const closers: (() => unknown)[] = [];
after(async () => {
  for (const close of closers) await close();
});

/** Registers a function that closes a stand-in after all tests of the file. */
export function closeAfterTests(close: () => unknown): void {
  closers.push(close);
}

/** Listens on a free loopback port and resolves with `host:port`. */
export async function listen(server: Server): Promise<string> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  closeAfterTests(() => server.close());
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Addresses of two model servers and two plain ones; a permit is for the first unless it is to be avoided. */
export interface ServerAddresses {
  readonly e1?: string;
  readonly e2?: string;
  readonly p1?: string;
  readonly p2?: string;
}

/** Nothing listens on port 1. */
const unusedAddress = '127.0.0.1:1';

/** Entries `chat` and `read` are idempotent, so their requests may be retried; `desk` is not. */
function catalogueOf({ e1, e2, p1, p2 }: ServerAddresses): Catalogue {
  const entry: Entry = {
    team: 't',
    service: 'model',
    class: 'interactive',
    idempotent: true,
    maxWait: 1_000,
    maxRun: 10_000,
  };
  const location = { vm: 'v', dataCentre: 'd', checksFence: true };
  const server = (service: string, address = unusedAddress): Catalogue['servers'][string] => ({
    service,
    address,
    ...location,
  });
  return {
    ...emptyCatalogue,
    revision: 1,
    services: {
      model: { kind: 'model', model: 'letters', coldLimit: 1, warmLimit: 2 },
      desk: { kind: 'plain', coldLimit: 1, warmLimit: 2 },
    },
    servers: {
      e1: server('model', e1),
      e2: server('model', e2),
      p1: server('desk', p1),
      p2: server('desk', p2),
    },
    teams: {
      t: {
        weight: 1,
        keys: [createHash('sha256').update(key).digest('hex')],
        limits: { waiting: 10, waitingBytes: 1e6, inFlight: 10 },
        waitAlarm: 1_000,
      },
    },
    entries: {
      chat: entry,
      read: { ...entry, service: 'desk' },
      desk: { ...entry, service: 'desk', idempotent: false },
    },
  };
}

function createPermitSource(): PermitSource {
  let sequence = 0;
  return {
    acquire: ({ service, team, avoidedServers }) => {
      sequence += 1;
      const [first, second] =
        service === 'model' ? (['e1', 'e2'] as const) : (['p1', 'p2'] as const);
      const server = avoidedServers.includes(first) ? second : first;
      return okAsync({
        permit: { id: String(sequence), server, fence: 1, service, team, sequence },
        revoked: new AbortController().signal,
        markSent: () => true,
        reportFirstByte: () => undefined,
        reportCost: () => undefined,
        finish: () => undefined,
      });
    },
  };
}

const unavailableTable: Table = {
  transact: () => errAsync({ kind: 'unavailable', detail: 'down' }),
  rows: () => errAsync({ kind: 'unavailable', detail: 'down' }),
};

/** An in-memory table that never fails. */
export function memoryTable(): Table {
  const rows = new Map<string, Row>();
  let version = 0;
  return {
    transact: ({ checks, puts, deletes }) => {
      const keys = checks
        .filter((check) => (rows.get(check.key)?.version ?? 0) !== check.version)
        .map((check) => check.key);
      if (keys.length > 0) return errAsync({ kind: 'conflict', keys });
      version += 1;
      for (const { key, value } of puts) rows.set(key, { key, version, value });
      for (const key of deletes) rows.delete(key);
      return okAsync({ version });
    },
    rows: (prefix) => okAsync([...rows.values()].filter(({ key }) => key.startsWith(prefix))),
  };
}

/** Starts the data path of a router and resolves with its URL. */
export async function startRouter(
  addresses: ServerAddresses,
  table: Table = unavailableTable,
): Promise<string> {
  const clock = Clock.system();
  const metrics = { count: () => undefined, gauge: () => undefined, timing: () => undefined };
  const catalogue = { current: () => catalogueOf(addresses) };
  const backend = HttpBackend.create();
  const claims = Claims.create({
    table,
    sessions: { liveness: () => Promise.resolve('unknown') },
    self: { name: 'r1', incarnation: 'i1' },
    clock,
    metrics,
  });
  const executor = Executor.create({
    catalogue,
    permits: createPermitSource(),
    backend,
    claims,
    clock,
    metrics,
    random: () => 0.5,
  });
  const frontend = Frontend.create({
    host: '127.0.0.1',
    port: 0,
    catalogue,
    status: { refusal: () => undefined, routers: () => [] },
    run: (call, caller) => executor.run(call, caller),
    metrics,
    directoryTtl: 5_000,
  });
  const port = await frontend.listen();
  closeAfterTests(() => frontend.close());
  closeAfterTests(() => backend.close());
  return `http://127.0.0.1:${port}`;
}
