// Guards against servers that are found unreachable, and refuse other callers' requests, for requests that this router cannot
// write: the name of their team, or their path, does not fit a field or a request line as it is.

import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, names } from './fleet.js';

const tenants = [
  { name: names.team, apiKeys: [names.key] },
  { name: '\u0141ukasz \u2013 \u5c71', apiKeys: ['key-of-polish'] },
  { name: 'caf\u00e9', apiKeys: ['key-of-caf\u00e9'] },
  { name: 'line\nbreak', apiKeys: ['key-of-broken'] },
];

let fleet: StackFleet;

before(async () => {
  fleet = await StackFleet.start();
  fleet.store.put('op', 'config', desiredStateOf(2, { tenants }));
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

function address(): string {
  return fleet.routers[0]?.settings.listen.callers ?? '';
}

function ask(id: string, key: string): Promise<CallResult> {
  return call({ address: address(), host: names.host, id, key, path: '/reads/1', timeLeft: 500 });
}

/** What another caller gets for a request soon after the begin of each of 20 calls of `work`. */
async function othersBeside(
  work: (number: number) => Promise<unknown>,
): Promise<readonly number[]> {
  const statuses: number[] = [];
  for (let number = 0; number < 20; number += 1) {
    const working = work(number);
    await pause(20);
    statuses.push((await ask(`other-${number}`, names.key)).status);
    await working;
  }
  return statuses;
}

const served = Array.from({ length: 20 }, () => 200);

for (const [index, { name, apiKeys }] of tenants.slice(1, 3).entries()) {
  const [key = ''] = apiKeys;
  test(`requests of the team ${name} are served, and the server gets the bytes of its name`, async () => {
    // Clients write the bytes of a string's characters up to U+00FF.
    const bytes = Buffer.from(key, 'utf8').toString('latin1');
    const statuses: number[] = [];
    const others = await othersBeside(async (number) => {
      statuses.push((await ask(`team-${index}-${number}`, bytes)).status);
    });
    assert.deepEqual(others, served);
    assert.deepEqual(statuses, served);
    const seen = fleet.desks
      .flatMap((desk) => desk.seen)
      .find(({ id }) => id === `team-${index}-0`);
    const field = String(seen?.headers.tenant);
    assert.equal(Buffer.from(field, 'latin1').toString('utf8'), name);
  });
}

test('a team whose name cannot be sent is refused, and its requests count against no server', async () => {
  const statuses: number[] = [];
  const others = await othersBeside(async (number) => {
    statuses.push((await ask(`broken-${number}`, 'key-of-broken')).status);
  });
  assert.deepEqual(others, served);
  assert.deepEqual(new Set(statuses), new Set([503]));
  assert.ok(fleet.desks.every((desk) => desk.seen.every(({ id }) => !id.startsWith('broken'))));
});

/** What a server answers on a connection of its own to a request with a path that no client can write. */
function answerTo(target: string, number: number): Promise<string> {
  const [hostname = '', port] = target.split(':');
  const fields = `Host: ${names.host}\r\nAuthorization: Bearer ${names.key}\r\nConnection: close`;
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) }, () => {
      socket.write(`GET /reads/\t${number} HTTP/1.1\r\n${fields}\r\n\r\n`);
    });
    let answer = '';
    socket.on('data', (bytes) => (answer += bytes.toString('latin1')));
    socket.on('close', () => {
      resolve(answer);
    });
  });
}

/** Whether the HTTP parser of this version of Node takes such a path; later ones answer 400. */
async function takesPath(): Promise<boolean> {
  const server = createServer((_, response) => response.end());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const answer = await answerTo(`127.0.0.1:${port}`, 0);
  server.close();
  return answer.startsWith('HTTP/1.1 200');
}

test('a path that cannot be sent is refused, and counts against no server', async () => {
  const refusal = (await takesPath())
    ? /^HTTP\/1\.1 503 [^]*"unsendable"/
    : /^HTTP\/1\.1 400 Bad Request\r\nConnection: close\r\n\r\n$/;
  const answers: string[] = [];
  const others = await othersBeside(async (number) => {
    answers.push(await answerTo(address(), number));
  });
  for (const answer of answers) assert.match(answer, refusal);
  assert.deepEqual(others, served);
});
