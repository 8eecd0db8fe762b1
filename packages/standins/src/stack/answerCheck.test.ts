// The checks of answers against a stand-in router that breaks each promise once: a check that cannot fail guards nothing.

import assert from 'node:assert/strict';
import { createServer, type AddressInfo } from 'node:net';
import { test, type TestContext } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { runFaults, type RequestKind } from './answerCheck.js';
import { KeptCaller } from './keptCaller.js';
import { StackServer } from './server.js';

const lateTime = 100;
const seal = 'Response-Seal: seal-desk-1\r\n';
const own = `Request-Id: a\r\n${seal}`;
const success = `HTTP/1.1 200 OK\r\n${own}`;

function framed(body: string): string {
  return `Content-Length: ${body.length}\r\n\r\n${body}`;
}

const whole = success + framed('desk-1 ran a');

/** What a caller reports that gets the bytes for its request; `ends` closes the connection behind them. */
async function reported(
  t: TestContext,
  bytes: string,
  options: { readonly ends?: true; readonly late?: string; readonly method?: string } = {},
  kind: RequestKind = 'reads',
): Promise<readonly string[]> {
  const server = await StackServer.start('desk-1');
  server.ran.push('a');
  server.given.push({ id: 'a', status: 200, body: 'desk-1 ran a' });
  const router = createServer((socket) => {
    socket.once('data', () => {
      socket.write(bytes);
      if (options.ends === true) socket.end();
      const { late } = options;
      if (late !== undefined) setTimeout(() => socket.write(late), lateTime / 2);
    });
  });
  await new Promise<void>((resolve) => router.listen(0, '127.0.0.1', resolve));
  const faults: string[] = [];
  const address = `127.0.0.1:${(router.address() as AddressInfo).port}`;
  const caller = KeptCaller.create(
    address,
    () => [server],
    (fault) => faults.push(fault),
  );
  t.after(async () => {
    caller.close();
    router.close();
    await server.close();
  });
  await caller.ask('a', kind, {
    within: lateTime,
    ...(options.method === undefined ? {} : { method: options.method }),
  });
  await pause(lateTime);
  caller.checkExcess();
  return faults;
}

// Guards against checks that report what is allowed.
test('a whole answer, a broken one and a failure of the router are not reported', async (t) => {
  assert.deepEqual(await reported(t, whole), []);
  assert.deepEqual(await reported(t, whole.slice(0, -1), { ends: true }), []);
  assert.deepEqual(await reported(t, whole.slice(0, 4), { ends: true }), []);
  assert.deepEqual(await reported(t, '', { ends: true }), []);
  const failure = `HTTP/1.1 502 Failed\r\nRequest-Id: a\r\n${framed('{"error":"failed"}')}`;
  assert.deepEqual(await reported(t, failure), []);
});

const chunkedStream = `${success}Transfer-Encoding: chunked\r\n\r\n`;
const noSeal = 'HTTP/1.1 200 OK\r\nRequest-Id: a\r\n';

for (const [name, expected, bytes, options, kind] of [
  ['the id of another request', /another request/, whole.replace('Id: a', 'Id: b')],
  ['the body of another request', /another request/, success + framed('desk-1 ran b')],
  ['no id', /without seal or id/, whole.replace('Request-Id: a\r\n', '')],
  ['no seal', /without seal or id/, noSeal + framed('desk-1 ran a')],
  ['the seal of no server', /seal of no server/, whole.replace('seal-desk-1', 'seal-desk-2')],
  ['an encoding', /encoded body/, `${success}Content-Encoding: gzip\r\n${framed('desk-1 ran a')}`],
  ['a part of the body', /not sent whole/, success + framed('desk-1 ra')],
  ['two runs in one body', /not sent whole/, success + framed('desdesk-1 ran a')],
  ['another status', /not sent whole/, whole.replace('200 OK', '500 Failed')],
  ['a failure of nobody', /neither/, `HTTP/1.1 500 Failed\r\n${framed('oops')}`],
  ['bytes behind the answer', /bytes behind/, `${whole}n-4`],
  [
    'a body behind a head',
    /bytes behind/,
    `${success}Content-Length: 2\r\n\r\nok`,
    { method: 'HEAD' },
  ],
  ['late bytes', /nobody asked for/, whole, { late: 'n-4' }],
  ['a late second answer', /nobody asked for/, whole, { late: whole }],
  ['bytes of no protocol', /no answer: "n-4HTTP/, `n-4${whole}`],
  ['bytes of no protocol at the end', /no answer: "n-4"/, 'n-4', { ends: true }],
  ['an answer without end', /no end/, whole.slice(0, -1)],
  ['a size of a chunk that is none', /no answer/, `${chunkedStream}zz\r\n`],
  ['a stream with a gap', /not sent whole/, success + framed('id: 1\ndata: 1\n\n'), {}, 'letters'],
  [
    'a broken stream with an event twice',
    /not in order/,
    `${chunkedStream}f\r\nid: 1\ndata: 1\n\n\r\nf\r\nid: 1\ndata: 1\n\n\r\n`,
    { ends: true },
    'letters',
  ],
] as const) {
  // Guards against a check that passes over an answer of this kind.
  test(`reported: ${name}`, async (t) => {
    const faults = await reported(t, bytes, options, kind);
    assert.ok(
      faults.some((fault) => expected.test(fault)),
      JSON.stringify(faults),
    );
  });
}

// Guards against runs that are not counted.
test('reported: a charge that ran twice, and a promise that was not kept', async (t) => {
  const servers = await Promise.all(['desk-1', 'desk-2'].map((id) => StackServer.start(id)));
  t.after(() => Promise.all(servers.map((server) => server.close())));
  for (const server of servers) server.ran.push('twice');
  servers[0]?.ran.push('once');
  const asked = [
    { id: 'twice', kind: 'charges', status: 200 },
    { id: 'once', kind: 'charges', status: 200 },
    { id: 'never', kind: 'charges', status: 503 },
    { id: 'once', kind: 'reads', status: 503 },
    { id: 'twice', kind: 'reads', status: 502 },
  ] as const;
  const faults = [...runFaults(asked, servers)];
  assert.deepEqual(faults, ['twice ran at desk-1,desk-2', 'once got 503, but ran at desk-1']);
});
