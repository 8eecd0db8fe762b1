// Runs the command line as a process against a stand-in admin port, and checks catalogue files.

import type { AdminError, ApplyFailure } from '@catkinwheel/protocol';
import { emptyCatalogue, type Catalogue } from '@catkinwheel/state';
import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { fileURLToPath } from 'node:url';
import { catalogueText, parseCatalogue } from './catalogueFile.js';
import { exampleCatalogue } from './exampleCatalogue.js';

const mainPath = fileURLToPath(new URL('./main.js', import.meta.url));

interface Result {
  readonly code: number | null;
  readonly out: string;
  readonly err: string;
}

function runCli(args: readonly string[], environment: NodeJS.ProcessEnv = {}): Promise<Result> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [mainPath, ...args], { env: { ...environment } });
    let out = '';
    let err = '';
    child.stdout.on('data', (data: Buffer) => (out += data.toString()));
    child.stderr.on('data', (data: Buffer) => (err += data.toString()));
    child.on('close', (code) => {
      resolve({ code, out, err });
    });
  });
}

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

/** Starts an admin port that sends the reply listed for `METHOD path` and records the requests. */
async function startAdminPort(t: TestContext, replies: Readonly<Record<string, Reply>>) {
  const seen: { readonly request: string; readonly body: string; readonly token: string }[] = [];
  const server = createServer((request, response) => {
    let body = '';
    request.on('data', (data: Buffer) => (body += data.toString()));
    request.on('end', () => {
      const key = `${request.method ?? ''} ${(request.url ?? '').replace('/admin/', '')}`;
      seen.push({ request: key, body, token: request.headers.authorization ?? '' });
      const reply = replies[key] ?? { status: 500, body: null };
      response.writeHead(reply.status).end(JSON.stringify(reply.body));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const router = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  return { seen, environment: { CATKINWHEEL_ROUTER: router, CATKINWHEEL_TOKEN: 'token' } };
}

function writeCatalogue(t: TestContext, text: string): string {
  const directory = mkdtempSync(join(tmpdir(), 'catkinwheel-'));
  t.after(() => {
    rmSync(directory, { recursive: true });
  });
  const path = join(directory, 'fleet.yaml');
  writeFileSync(path, text);
  return path;
}

function refusalReply(status: number, failure: ApplyFailure): Reply {
  const body: AdminError = { title: failure.kind, status, detail: 'reason', failure };
  return { status, body };
}

test('the example is a valid catalogue and unchanged after formatting and parsing', () => {
  const document = parseCatalogue('example', exampleCatalogue)._unsafeUnwrap();
  const text = catalogueText({ ...emptyCatalogue, ...document, revision: 3 });
  const again = parseCatalogue('again', text)._unsafeUnwrap();
  assert.deepEqual(again, { ...emptyCatalogue, ...document, revision: 3 });
});

const mistakes: readonly { readonly from: RegExp; readonly to: string; readonly error: RegExp }[] =
  [
    {
      from: /coldLimit: 2/,
      to: 'coldLimit: 0',
      error: /:6: services.letters.coldLimit: .*1 or more, found number 0/,
    },
    {
      from: /coldLimit/,
      to: 'colLimit',
      error: /:6: services.letters.colLimit: unknown field, expected kind, model/,
    },
    {
      from: /service: letters\n {4}addr/,
      to: 'service: mail\n    addr',
      error: /:12: servers.letters-1.service: .*found "mail"/,
    },
    {
      from: /127.0.0.1:9001/,
      to: 'host:9001',
      error: /:13: servers.letters-1.address: expected an address/,
    },
    {
      from: /- "0{64}"/,
      to: '- "plain-key"',
      error: /:23: teams.adoptions.keys.0: expected a SHA-256/,
    },
    {
      from: /weight: 1 /,
      to: 'weight: -1',
      error: /:21: teams.adoptions.weight: expected a number above 0/,
    },
    {
      from: /team: adoptions/,
      to: 'team: nobody',
      error: /:33: entries.adoption-letters.team: .*found "nobody"/,
    },
    {
      from: /warmLimit: 16/,
      to: 'warmLimit: 1',
      error: /:7: services.letters.warmLimit: expected at least/,
    },
    { from: /entries:/, to: 'entrys:', error: /:31: entrys: unknown field/ },
    { from: /services:/, to: 'services: [', error: /fleet.yaml:\d+: / },
  ];

for (const { from, to, error } of mistakes) {
  test(`the invalid text "${to.replace(/\n.*/s, '')}" is reported with its line and the expected value`, () => {
    const text = exampleCatalogue.replace(from, to);
    assert.notEqual(text, exampleCatalogue);
    const failure = parseCatalogue('fleet.yaml', text)._unsafeUnwrapErr();
    assert.ok(failure.kind === 'file');
    assert.match(failure.problems.join('\n'), error);
  });
}

test('a hash that consists only of digits is not parsed as a number', () => {
  const digits = '1234567890'.repeat(7).slice(0, 64);
  const text = exampleCatalogue.replace(/"0{64}"/, digits);
  assert.deepEqual(parseCatalogue('f', text)._unsafeUnwrap().teams.adoptions?.keys, [digits]);
});

test('a new key is printed with its SHA-256', async () => {
  const { code, out } = await runCli(['key', '--json']);
  const { key, sha256 } = JSON.parse(out) as { key: string; sha256: string };
  assert.equal(code, 0);
  assert.equal(createHash('sha256').update(key).digest('hex'), sha256);
  assert.ok(key.length >= 43);
});

const wrongUsage: readonly (readonly string[])[] = [
  [],
  ['nonsense'],
  ['check'],
  ['status', '--bogus'],
  ['status'],
  ['drain', 'rack', 'r1', '--router', 'x', '--token', 'y'],
  ['catalogue', 'apply', 'f', '--base', 'x', '--router', 'x', '--token', 'y'],
];

for (const args of wrongUsage) {
  test(`"${args.join(' ')}" is wrong usage: exit code 2 and an error message`, async () => {
    const { code, err } = await runCli(args);
    assert.equal(code, 2);
    assert.ok(err.trim().length > 10);
  });
}

test('an unreachable router gives exit code 4', async () => {
  const { code, err } = await runCli(['status', '--router', '127.0.0.1:1', '--token', 't']);
  assert.equal(code, 4);
  assert.match(err, /127.0.0.1:1/);
});

const missingRouterReply = { status: 200, body: { revision: 1, missing: ['r2'] } };

test('apply waits until the change is in force everywhere', async (t) => {
  const { seen, environment } = await startAdminPort(t, {
    'PUT catalogue': missingRouterReply,
    'GET catalogue/acceptance/1': { status: 200, body: { revision: 1, missing: [] } },
  });
  const path = writeCatalogue(t, exampleCatalogue);
  const { code, out } = await runCli(['catalogue', 'apply', path], environment);
  assert.equal(code, 0);
  assert.match(out, /revision 1 is in force everywhere/);
  assert.equal(seen[0]?.token, 'Bearer token');
  assert.equal((JSON.parse(seen[0].body) as { base: number }).base, 0);
});

test('a change not in force everywhere before the timeout gives exit code 5 and the missing routers', async (t) => {
  const { environment } = await startAdminPort(t, {
    'PUT catalogue': missingRouterReply,
    'GET catalogue/acceptance/1': missingRouterReply,
  });
  const path = writeCatalogue(t, exampleCatalogue);
  const { code, out } = await runCli(
    ['catalogue', 'apply', path, '--wait', '1', '--json'],
    environment,
  );
  assert.equal(code, 5);
  assert.deepEqual(JSON.parse(out), missingRouterReply.body);
});

const refusals: readonly {
  readonly failure: ApplyFailure;
  readonly status: number;
  readonly code: number;
}[] = [
  { failure: { kind: 'conflict', current: 9 }, status: 409, code: 3 },
  { failure: { kind: 'unavailable', detail: 'x' }, status: 503, code: 4 },
  { failure: { kind: 'unknown', detail: 'x' }, status: 504, code: 1 },
  { failure: { kind: 'invalid', problems: [] }, status: 422, code: 1 },
];

for (const { failure, status, code } of refusals) {
  test(`a change refused as ${failure.kind} gives exit code ${code}`, async (t) => {
    const { environment } = await startAdminPort(t, {
      'PUT catalogue': refusalReply(status, failure),
    });
    const result = await runCli(
      ['catalogue', 'apply', writeCatalogue(t, exampleCatalogue)],
      environment,
    );
    assert.equal(result.code, code);
    assert.match(result.err, /reason/);
  });
}

test('a file from "catalogue get" is applied with its own revision as base', async (t) => {
  const current: Catalogue = {
    ...emptyCatalogue,
    ...parseCatalogue('example', exampleCatalogue)._unsafeUnwrap(),
    revision: 7,
  };
  const { seen, environment } = await startAdminPort(t, {
    'GET catalogue': { status: 200, body: current },
    'PUT catalogue': { status: 200, body: { revision: 8, missing: [] } },
  });
  const got = await runCli(['catalogue', 'get'], environment);
  const path = writeCatalogue(t, got.out.replace('weight: 1', 'weight: 2'));
  const diff = await runCli(['catalogue', 'diff', path], environment);
  assert.equal(diff.out.trim(), '~ teams.adoptions');
  assert.equal((await runCli(['catalogue', 'apply', path], environment)).code, 0);
  const put = seen.find(({ request }) => request === 'PUT catalogue');
  assert.equal((JSON.parse(put?.body ?? '{}') as { base?: number }).base, 7);
});

test('drain and restore send the data centre or VM, stop sends the router name', async (t) => {
  const ok = { status: 200, body: { revision: 2, missing: [] } };
  const { seen, environment } = await startAdminPort(t, {
    'POST drain': ok,
    'POST restore': ok,
    'POST stop': { status: 202, body: { router: 'r1' } },
  });
  assert.equal((await runCli(['drain', 'data-centre', 'suva'], environment)).code, 0);
  assert.equal((await runCli(['restore', 'vm', 'v1'], environment)).code, 0);
  assert.equal((await runCli(['stop', 'r1'], environment)).code, 0);
  assert.deepEqual(
    seen.map(({ request, body }) => `${request} ${body}`),
    ['POST drain {"dataCentre":"suva"}', 'POST restore {"vm":"v1"}', 'POST stop {"router":"r1"}'],
  );
});
