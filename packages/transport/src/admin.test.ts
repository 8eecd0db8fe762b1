import type { ApplyFailure, KeeperState, RouterStatus, TeamUsage } from '@catkinwheel/protocol';
import {
  emptyCatalogue,
  type Catalogue,
  type CatalogueDocument,
  type Router,
} from '@catkinwheel/state';
import { err, errAsync, ok, okAsync, type Result } from 'neverthrow';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Admin, adminApp, type AdminSource } from './admin.js';

const catalogue: Catalogue = {
  ...emptyCatalogue,
  revision: 4,
  services: { chat: { kind: 'plain', coldLimit: 1, warmLimit: 4 } },
  servers: {
    s1: { service: 'chat', address: '127.0.0.1:1', vm: 'v1', dataCentre: 'd1', checksFence: true },
  },
  drain: { dataCentres: [], vms: ['v1'] },
};

function router(name: string): Router {
  return {
    name,
    incarnation: 'i',
    vm: `vm-${name}`,
    dataCentre: 'd1',
    address: 'x:1',
    peerAddress: 'x:2',
  };
}

function usage(waiting: number, oldestWait: number): TeamUsage {
  return {
    team: 't',
    service: 'chat',
    waiting,
    bytes: 10,
    oldestWait,
    inFlight: 1,
    level: waiting,
  };
}

function kept(fence: number): KeeperState {
  const common = { service: 'chat', phase: 'warm', limit: 4, inFlight: 1, boot: 'b' } as const;
  return { server: 's1', fence, authority: 'held', ...common };
}

function status(name: string, fence: number, teams: readonly TeamUsage[]): RouterStatus {
  const members = ['b', 'c'].map((other) => ({
    router: router(other),
    phase: 'alive' as const,
    leaving: false,
    platform: true,
    revision: 4,
    mayTakeWork: true,
  }));
  const servers = [kept(fence)];
  return {
    router: router(name),
    revision: 4,
    leaving: false,
    platform: true,
    members,
    servers,
    teams,
  };
}

interface Setup {
  readonly result?: Result<number, ApplyFailure>;
}

function setup({ result = ok(5) }: Setup = {}) {
  const calls: string[] = [];
  const source: AdminSource = {
    status: () => status('a', 1, [usage(1, 10)]),
    peerStatus: (name) =>
      name === 'b' ? okAsync(status('b', 2, [usage(2, 30)])) : errAsync('no link'),
    metrics: () => ({ counters: { x: 1 }, gauges: {} }),
    catalogue: {
      current: () => catalogue,
      replace: (base: number, next: CatalogueDocument, author: string) => {
        calls.push(`replace ${base} ${Object.keys(next.teams).length} ${author}`);
        return Promise.resolve(result);
      },
      amend: (change, author) => {
        calls.push(`amend ${JSON.stringify(change(catalogue).drain)} ${author}`);
        return Promise.resolve(result);
      },
      rolloutStatus: (revision) => ({ revision, missing: ['c'] }),
      history: () => Promise.resolve(ok([])),
    },
    stop: () => calls.push('stop'),
  };
  const app = adminApp('token', source);
  const ask = async (method: string, path: string, body?: unknown, token = 'token') => {
    const response = await app.request(path, {
      method,
      headers: { authorization: `Bearer ${token}`, 'x-operator': 'op' },
      ...(body === undefined ? {} : { body: JSON.stringify(body) }),
    });
    return { status: response.status, body: (await response.json()) as Record<string, unknown> };
  };
  return { ask, calls, source };
}

test('teams are merged over all routers that answer, the others are named', async () => {
  const { ask } = setup();
  const fleet = await ask('GET', '/admin/status');
  assert.equal(fleet.body.revision, 4);
  assert.deepEqual(fleet.body.unreachable, ['c']);
  const teams = await ask('GET', '/admin/teams');
  assert.deepEqual(teams.body, [{ ...usage(3, 30), bytes: 20, inFlight: 2, level: 2 }]);
});

test('a server is shown with the keeper of the highest fence and its drain', async () => {
  const { ask } = setup();
  const [server] = (await ask('GET', '/admin/servers')).body as unknown as Record<
    string,
    unknown
  >[];
  assert.equal(server?.keeper, 'b');
  assert.equal(server.drained, true);
});

test('requests without the operator token are refused', async () => {
  const { ask, calls } = setup();
  for (const path of ['/admin/status', '/admin/catalogue', '/admin/nothing']) {
    assert.equal((await ask('GET', path, undefined, 'wrong')).status, 401);
  }
  assert.equal((await ask('POST', '/admin/stop', {}, '')).status, 400);
  assert.deepEqual(calls, []);
});

test('a committed change names the routers where it is not in force yet', async () => {
  const { ask, calls } = setup();
  const answer = await ask('PUT', '/admin/catalogue', { base: 4, catalogue });
  assert.deepEqual(answer, { status: 200, body: { revision: 5, missing: ['c'] } });
  assert.deepEqual(calls, ['replace 4 0 op']);
});

const failures: readonly { readonly failure: ApplyFailure; readonly status: number }[] = [
  { failure: { kind: 'conflict', current: 9 }, status: 409 },
  { failure: { kind: 'unavailable', detail: 'down' }, status: 503 },
  { failure: { kind: 'unknown', detail: 'lost' }, status: 504 },
  { failure: { kind: 'invalid', problems: [{ path: ['a'], detail: 'x' }] }, status: 422 },
];

for (const { failure, status } of failures) {
  test(`a change that fails as ${failure.kind} is answered with ${status} and the reason`, async () => {
    const { ask } = setup({ result: err(failure) });
    const answer = await ask('PUT', '/admin/catalogue', { base: 4, catalogue });
    assert.equal(answer.status, status);
    assert.deepEqual(answer.body.failure, failure);
  });
}

const bad: readonly { readonly path: string; readonly body: unknown; readonly status: number }[] = [
  { path: '/admin/catalogue', body: 'x', status: 400 },
  { path: '/admin/catalogue', body: { base: -1, catalogue }, status: 400 },
  {
    path: '/admin/catalogue',
    body: { base: 4, catalogue: { ...catalogue, teams: 3 } },
    status: 422,
  },
  { path: '/admin/drain', body: {}, status: 400 },
  { path: '/admin/drain', body: { vm: 'v1', dataCentre: 'd1' }, status: 400 },
  { path: '/admin/drain', body: { vm: 'misspelled' }, status: 404 },
  { path: '/admin/stop', body: { router: 'b' }, status: 409 },
];

for (const { path, body, status } of bad) {
  test(`${path} with ${JSON.stringify(body).slice(0, 40)} is refused and does nothing`, async () => {
    const { ask, calls } = setup();
    const answer = await ask(path === '/admin/catalogue' ? 'PUT' : 'POST', path, body);
    assert.equal(answer.status, status);
    assert.ok(String(answer.body.detail).length > 5);
    assert.deepEqual(calls, []);
  });
}

test('a drain and its end change only the named place', async () => {
  const { ask, calls } = setup();
  assert.equal((await ask('POST', '/admin/drain', { dataCentre: 'd1' })).status, 200);
  assert.equal((await ask('POST', '/admin/restore', { vm: 'v1' })).status, 200);
  assert.deepEqual(calls, [
    'amend {"dataCentres":["d1"],"vms":["v1"]} op',
    'amend {"dataCentres":[],"vms":[]} op',
  ]);
});

test('the port listens, answers and closes', async () => {
  const { source } = setup();
  const options = { host: '127.0.0.1', port: 0, token: 'token', source };
  const admin = (await Admin.listen(options))._unsafeUnwrap();
  const headers = { authorization: 'Bearer token' };
  const answer = await fetch(`http://${admin.address}/admin/metrics`, { headers });
  assert.deepEqual(await answer.json(), { counters: { x: 1 }, gauges: {} });
  await admin.close();
});

test('a client that keeps asking on its connection does not keep the port from closing', async () => {
  const { source } = setup();
  const options = { host: '127.0.0.1', port: 0, token: 'token', source };
  const admin = (await Admin.listen(options))._unsafeUnwrap();
  const headers = { authorization: 'Bearer token' };
  const ask = async (): Promise<void> => {
    for (;;) await (await fetch(`http://${admin.address}/admin/metrics`, { headers })).json();
  };
  const asking = assert.rejects(ask());
  await new Promise((resolve) => setTimeout(resolve, 50));
  await admin.close();
  await asking;
});
