// Runs of single requests against servers that fail: when they are resumed, retried or given up, and which verdict
// the caller gets.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Call, ResponsePart } from '@catkinwheel/protocol';
import { Clock, notRun, type ManualClock } from '@catkinwheel/state';
import { Claims } from './claims.js';
import { Executor } from './executor.js';
import {
  bytes,
  catalogue,
  advanceUntilSettled,
  end,
  eventHead,
  FakeBackend,
  FakeMetrics,
  FakePermits,
  FaultyTable,
  lastEvents,
  lost,
  plainHead,
  refused,
  tokens,
  type Step,
} from './requestFakes.test.js';

/** One router with fake servers; `run` returns what its caller received. */
class Bench {
  readonly clock: ManualClock = Clock.manual();
  readonly metrics = new FakeMetrics();
  readonly permits = new FakePermits();
  readonly table = new FaultyTable();
  readonly caller = new AbortController();
  readonly backend: FakeBackend;
  readonly #executor: Executor;
  #calls = 0;

  constructor(...scripts: readonly (readonly Step[])[]) {
    this.backend = new FakeBackend(this.clock, scripts);
    const { clock, metrics, permits, backend, table } = this;
    const self = { name: 'r1', incarnation: 'r1-1' };
    const sessions = { liveness: () => Promise.resolve('dead' as const) };
    const claims = Claims.create({ table, sessions, self, clock, metrics });
    const random = (): number => 0.5;
    const view = { current: () => catalogue };
    const ports = { catalogue: view, permits, backend, claims, clock, metrics, random };
    this.#executor = Executor.create(ports);
  }

  /** The text and the end that the caller received: `complete`, or verdict and reason. */
  async run(entry: string, options: Partial<Call> = {}): Promise<string> {
    const parts = await advanceUntilSettled(this.clock, this.collect(entry, options));
    const text = parts.map(textOf).join('');
    const last = parts.at(-1);
    if (last?.kind !== 'failed') return `${text}|complete`;
    return `${text}|${last.failure.verdict} ${last.failure.reason}`;
  }

  /** Requests that the servers received, as `kind address offset`. */
  get sent(): readonly string[] {
    return this.backend.sent.map(({ kind, address, offset }) => `${kind} ${address} ${offset}`);
  }

  get outcomes(): readonly string[] {
    return this.permits.finished.map(({ outcome }) => outcome);
  }

  /** The parts that the caller received. */
  async collect(entry: string, options: Partial<Call>): Promise<readonly ResponsePart[]> {
    this.#calls += 1;
    const body = Buffer.from('{"messages":[]}');
    const request = { method: 'POST', path: '/x', headers: {}, body };
    const id = `c${this.#calls}`;
    const stream = entry === 'chat' || entry === 'agent';
    const call = { id, entry, request, stream, key: null, hint: undefined, ...options };
    const parts: ResponsePart[] = [];
    for await (const part of this.#executor.run(call, this.caller.signal)) {
      assert.ok(!parts.some(({ kind }) => kind === 'end' || kind === 'failed'), 'a second end');
      parts.push(part);
    }
    assert.ok(['end', 'failed'].includes(parts.at(-1)?.kind ?? ''), 'no end');
    assert.equal(this.permits.finished.length, this.permits.revocations.length, 'lost permits');
    return parts;
  }
}

function textOf(part: ResponsePart): string {
  if (part.kind === 'bytes') return Buffer.from(part.bytes).toString();
  if (part.kind !== 'events') return '';
  return part.data
    .map((data) => /"content":"(.*?)"/.exec(data)?.[1] ?? (data === '[DONE]' ? '.' : ''))
    .join('');
}

const ab: readonly Step[] = [eventHead, tokens('a', 'b')];
const rest: readonly Step[] = [eventHead, tokens('c'), lastEvents(10, 3), end];
const complete: readonly Step[] = [eventHead, tokens('a', 'b', 'c'), lastEvents(10, 3), end];
const ok: readonly Step[] = [plainHead(200, { 'content-length': '2' }), bytes('ok'), end];
const gone = plainHead(404);
const busy = plainHead(503, { 'retry-after': '1' });
const mismatched = plainHead(200, { 'x-request-id': 'another', 'content-length': '2' });

interface Case {
  readonly name: string;
  readonly entry: string;
  readonly scripts: readonly (readonly Step[])[];
  readonly got: string;
  readonly sent: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'an interrupted stream resumes at its offset on a new connection to the same server',
    entry: 'chat',
    scripts: [[...ab, lost], rest],
    got: 'abc.|complete',
    sent: ['send a1 0', 'resume a1 2'],
  },
  {
    name: 'a stream that ends without its end mark resumes',
    entry: 'agent',
    scripts: [[...ab, end], rest],
    got: 'abc.|complete',
    sent: ['send a1 0', 'resume a1 2'],
  },
  {
    name: 'a stream that exceeds the silence timeout resumes',
    entry: 'chat',
    scripts: [[...ab, 'hang'], rest],
    got: 'abc.|complete',
    sent: ['send a1 0', 'resume a1 2'],
  },
  {
    name: 'keep-alives keep a slow stream on its connection',
    entry: 'chat',
    scripts: [[eventHead, 1_500, { kind: 'alive' }, 1_500, ...complete.slice(1)]],
    got: 'abc.|complete',
    sent: ['send a1 0'],
  },
  {
    name: 'a stream whose server is unreachable is continued by another server from its text',
    entry: 'chat',
    scripts: [[...ab, lost], [refused], rest],
    got: 'abc.|complete',
    sent: ['send a1 0', 'resume a1 2', 'cancel a1 0', 'send a2 0'],
  },
  {
    name: 'a stream that its restarted server does not know is continued by another server',
    entry: 'chat',
    scripts: [[...ab, lost], [gone], rest],
    got: 'abc.|complete',
    sent: ['send a1 0', 'resume a1 2', 'cancel a1 0', 'send a2 0'],
  },
  {
    name: 'a non-idempotent request whose stream is lost ends with an error after the text so far',
    entry: 'agent',
    scripts: [[...ab, lost], [refused]],
    got: 'ab|mayHaveRun connectFailed',
    sent: ['send a1 0', 'resume a1 2', 'cancel a1 0'],
  },
  {
    name: 'a stream fails after three resumptions that bring no token',
    entry: 'agent',
    scripts: [[...ab, lost], [lost]],
    got: 'ab|mayHaveRun connectionLost',
    sent: ['send a1 0', 'resume a1 2', 'resume a1 2', 'resume a1 2', 'cancel a1 0'],
  },
  {
    name: 'a response with the id of another request is discarded and the request is retried',
    entry: 'read',
    scripts: [[mismatched, bytes('no'), end], ok],
    got: 'ok|complete',
    sent: ['send a1 0', 'send a2 0'],
  },
  {
    name: 'a non-idempotent request is not retried after a mismatched answer',
    entry: 'pay',
    scripts: [[mismatched, bytes('no'), end], ok],
    got: '|mayHaveRun answerMismatch',
    sent: ['send a1 0'],
  },
  {
    name: 'a non-idempotent request is not retried once its first byte may have been sent',
    entry: 'pay',
    scripts: [[lost], ok],
    got: '|mayHaveRun connectionLost',
    sent: ['send a1 0'],
  },
  {
    name: 'a refused connection is retried at another server even for a non-idempotent request',
    entry: 'pay',
    scripts: [[refused], ok],
    got: 'ok|complete',
    sent: ['send a1 0', 'send a2 0'],
  },
  {
    name: 'a request that no server accepts ends as not run after three attempts',
    entry: 'read',
    scripts: [[refused]],
    got: '|notRun retriesExhausted',
    sent: ['send a1 0', 'send a2 0', 'send a3 0'],
  },
  {
    name: 'one attempt that may have run decides the verdict of the whole request',
    entry: 'read',
    scripts: [[lost], [refused]],
    got: '|mayHaveRun retriesExhausted',
    sent: ['send a1 0', 'send a2 0', 'send a3 0'],
  },
  {
    name: 'a model server that answers 503 with retry-after has not run the request',
    entry: 'agent',
    scripts: [[busy, end]],
    got: '|notRun serverRefused',
    sent: ['send a1 0'],
  },
  {
    name: 'a plain service that answers 503 may have run the request',
    entry: 'pay',
    scripts: [[busy, end]],
    got: '|mayHaveRun serverRefused',
    sent: ['send a1 0'],
  },
  {
    name: 'a request whose small response is truncated is retried, because nothing of it was forwarded',
    entry: 'read',
    scripts: [[plainHead(200, { 'content-length': '4' }), bytes('ok'), lost], ok],
    got: 'ok|complete',
    sent: ['send a1 0', 'send a2 0'],
  },
  {
    name: 'a request whose response is truncated after a part was forwarded is not retried',
    entry: 'read',
    scripts: [[plainHead(200), bytes('part'), lost], ok],
    got: 'part|mayHaveRun connectionLost',
    sent: ['send a1 0'],
  },
  // Guards against events of a second run appended to the plain response of the first.
  {
    name: 'a request for a stream whose plain response was forwarded in part is neither resumed nor retried',
    entry: 'chat',
    scripts: [[plainHead(200), bytes('part'), lost], rest, complete],
    got: 'part|mayHaveRun connectionLost',
    sent: ['send a1 0', 'cancel a1 0'],
  },
  // Guards against the events of a successful run under the error status of a failed one.
  {
    name: 'a stream with an error status that was forwarded in part is neither resumed nor retried',
    entry: 'chat',
    scripts: [[{ ...eventHead, status: 500 }, tokens('a'), lost], rest, complete],
    got: 'a|mayHaveRun connectionLost',
    sent: ['send a1 0', 'cancel a1 0'],
  },
  // Guards against streams that fail, some with an internal error, because of an event without content.
  ...[
    '{"choices":[{"index":0,"delta":{"role":"assistant","content":"","tool_calls":[],"refusal":null}}]}',
    '{"choices":[{"delta":null},null]}',
    '{"choices":[],"usage":null}',
  ].map((data) => ({
    name: `a stream is resumed after the event ${data}`,
    entry: 'chat',
    scripts: [[eventHead, { kind: 'events', data: [data] }, lost], rest] as const,
    got: 'c.|complete',
    sent: ['send a1 0', 'resume a1 0'],
  })),
  // Guards against two runs in one stream: the token offset and the text do not cover such events.
  ...[
    '{"choices":[{"delta":{"tool_calls":[{"function":{"arguments":"{"}}]}}]}',
    '{"choices":[{"index":1,"delta":{"content":""}}]}',
    '{"error":{"message":"out of memory"}}',
    '{"choices":{"delta":{}}}',
    'no JSON',
  ].map((data) => ({
    name: `a stream is neither resumed nor retried after the event ${data}`,
    entry: 'chat',
    scripts: [[eventHead, { kind: 'events', data: [data] }, lost], rest, complete] as const,
    got: '|mayHaveRun connectionLost',
    sent: ['send a1 0', 'cancel a1 0'],
  })),
  {
    name: 'a request that runs longer than maxRun is cancelled and not retried',
    entry: 'read',
    scripts: [['hang'], ok],
    got: '|mayHaveRun deadline',
    sent: ['send a1 0'],
  },
];
for (const { name, entry, scripts, got, sent } of cases) {
  test(name, async () => {
    const bench = new Bench(...scripts);
    assert.equal(await bench.run(entry), got);
    assert.deepEqual(bench.sent, sent);
  });
}

test('a request to continue a stream has the tokens and the text so far, and each permit is returned with the cost of its own server', async () => {
  const bench = new Bench([...ab, lost], [refused], rest);
  await bench.run('chat');
  const body = JSON.parse(bench.backend.sent.at(-1)?.body ?? '') as Record<string, unknown>;
  assert.deepEqual(body, { messages: [], continue_from: { tokens: 2, text: 'ab' } });
  assert.deepEqual(
    bench.permits.finished.map(({ cost }) => Math.round(cost)),
    [2, 4],
  );
});

test('a retry keeps its arrival time and avoids the servers that failed', async () => {
  const bench = new Bench([refused]);
  await bench.clock.advance(1_000);
  await bench.run('read');
  assert.deepEqual(
    bench.permits.works.map(({ arrived, avoidedServers }) => ({ arrived, avoidedServers })),
    [
      { arrived: 1_000, avoidedServers: [] },
      { arrived: 1_000, avoidedServers: ['s1'] },
      { arrived: 1_000, avoidedServers: ['s1', 's2'] },
    ],
  );
});

test('retries stay within 10 % of the requests of a service', async () => {
  const bench = new Bench([lost]);
  const results = await advanceUntilSettled(
    bench.clock,
    Promise.all(Array.from({ length: 400 }, () => bench.run('read'))),
  );
  const retries = bench.sent.length - 400;
  assert.ok(retries <= 400 * 0.1 + 10, `${retries} retries`);
  assert.ok(results.includes('|mayHaveRun retryBudget'));
  assert.equal(bench.metrics.counts.get('request.retried connectionLost'), retries);
});

test('refused connections do not use the retry budget, but each request is limited to three attempts', async () => {
  const bench = new Bench([refused]);
  const results = await advanceUntilSettled(
    bench.clock,
    Promise.all(Array.from({ length: 100 }, () => bench.run('read'))),
  );
  assert.equal(bench.sent.length, 300);
  assert.deepEqual([...new Set(results)], ['|notRun retriesExhausted']);
});

test('a request declines permits for the server that failed it and waits for another server', async () => {
  const bench = new Bench([refused], complete);
  bench.permits.avoidedGrants = 6;
  assert.equal(await bench.run('chat'), 'abc.|complete');
  assert.deepEqual(bench.sent, ['send a1 0', 'send a2 0']);
  assert.equal(bench.outcomes.filter((outcome) => outcome === 'unused').length, 6);
});

test('a request accepts the server that failed it after the maximum of moves if no other has permits', async () => {
  const bench = new Bench([refused], complete);
  bench.permits.avoidedGrants = 100;
  assert.equal(await bench.run('chat'), 'abc.|complete');
  assert.deepEqual(bench.sent, ['send a1 0', 'send a1 0']);
});

test('a plain response that takes ten times as long as usual is retried once', async () => {
  const slow: readonly Step[] = [plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end];
  const answers = Array.from({ length: 50 }, () => slow);
  const bench = new Bench(...answers, ['hang'], [10_000, ...ok], ['hang']);
  for (let count = 0; count < 50; count += 1) await bench.run('read');
  const start = bench.clock.now();
  assert.equal(await bench.run('read'), 'ok|complete');
  assert.ok(bench.clock.now() - start < 16_000, 'the silent connection was detected late');
  assert.equal(bench.metrics.counts.get('request.retried silentConnection'), 1);
  assert.equal(await bench.run('pay'), '|mayHaveRun deadline');
});

test('a caller that disconnects has its attempt at the server cancelled', async () => {
  const bench = new Bench([...ab, 'hang']);
  const running = bench.run('chat');
  await bench.clock.advance(500);
  bench.caller.abort();
  assert.equal(await running, 'ab|mayHaveRun callerGone');
  assert.deepEqual(bench.sent, ['send a1 0', 'cancel a1 0']);
  assert.deepEqual(bench.outcomes, ['cancelled']);
});

test('a stream whose permit is revoked moves to another server without using a retry', async () => {
  const bench = new Bench([...ab, 'hang'], rest);
  const running = bench.run('chat');
  await bench.clock.advance(500);
  bench.permits.revocations[0]?.abort();
  assert.equal(await running, 'abc.|complete');
  assert.deepEqual(bench.sent, ['send a1 0', 'cancel a1 0', 'send a2 0']);
  assert.deepEqual(bench.outcomes, ['cancelled', 'used']);
});

// Guards against a second body appended to the part that the caller has.
test('a request whose permit is revoked after a part of its plain response was forwarded is not retried', async () => {
  const bench = new Bench([plainHead(200), bytes('part'), 'hang'], ok);
  const running = bench.run('read');
  await bench.clock.advance(500);
  bench.permits.revocations[0]?.abort();
  assert.equal(await running, 'part|mayHaveRun revoked');
  assert.deepEqual(bench.sent, ['send a1 0']);
});

// Guards against a second body appended to the part that the caller has.
test('a request whose plain response goes silent after a part was forwarded is not retried', async () => {
  const slow: readonly Step[] = [plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end];
  const answers = Array.from({ length: 50 }, () => slow);
  const bench = new Bench(...answers, [plainHead(200), bytes('part'), 'hang'], ok);
  for (let count = 0; count < 50; count += 1) await bench.run('read');
  assert.equal(await bench.run('read'), 'part|mayHaveRun deadline');
  assert.equal(bench.sent.length, 51);
});

// Guards against LOST: a response is given up for a pause of its server, though no other server is ready to give it.
test('a plain response whose server pauses is awaited while there is no permit for another server', async () => {
  const slow: readonly Step[] = [plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end];
  const pausing: readonly Step[] = [
    plainHead(200, { 'content-length': '2' }),
    12_000,
    ...ok.slice(1),
  ];
  const bench = new Bench(...Array.from({ length: 50 }, () => slow), pausing, ok);
  for (let count = 0; count < 50; count += 1) await bench.run('read');
  const running = bench.run('read');
  await bench.clock.advance(1_000);
  bench.permits.refusal = notRun('queueLimit', 'the queue is full');
  assert.equal(await running, 'ok|complete');
  assert.equal(bench.sent.length, 51);
});

// Guards against the same after a part of the response, which no other server can continue.
test('a plain response whose server pauses in the middle is whole', async () => {
  const slow: readonly Step[] = [plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end];
  const pausing: readonly Step[] = [plainHead(200), bytes('a'), 12_000, bytes('b'), end];
  const bench = new Bench(...Array.from({ length: 50 }, () => slow), pausing, ok);
  for (let count = 0; count < 50; count += 1) await bench.run('read');
  assert.equal(await bench.run('read'), 'ab|complete');
  assert.equal(bench.sent.length, 51);
});

// Guards against a recorded response that consists of parts of two runs.
test('a request with a key whose response is truncated after a part was forwarded is not sent again, and no part is recorded', async () => {
  const bench = new Bench([plainHead(200), bytes('part'), bytes('more'), lost], ok);
  assert.equal(await bench.run('pay', { key: 'k' }), 'part|mayHaveRun connectionLost');
  assert.equal(await bench.run('pay', { key: 'k' }), '|mayHaveRun claimUnresolved');
  assert.equal(bench.sent.length, 1);
});

// Guards against a stream that lacks its finish reason, from a model server that sends usage with every event.
test('an event without text is forwarded though an earlier one of its connection had usage too', async () => {
  const usage = { prompt_tokens: 1, completion_tokens: 1 };
  const events = [
    { choices: [{ delta: { content: 'a' } }], usage },
    { choices: [{ delta: {}, finish_reason: 'stop' }], usage },
  ];
  const data = [...events.map((event) => JSON.stringify(event)), '[DONE]'];
  const bench = new Bench([eventHead, { kind: 'events', data }, end]);
  const parts = await advanceUntilSettled(bench.clock, bench.collect('chat', {}));
  assert.deepEqual(parts.at(1), { kind: 'events', data });
});

// Guards against events that the caller already has, when the connection that sent them is lost.
test('events without text are forwarded once, though a resumed or continued stream sends them again', async () => {
  const role = { kind: 'events', data: ['{"id":"1","choices":[{"delta":{"role":"assistant"}}]}'] };
  const stop = {
    kind: 'events',
    data: ['{"id":"1","choices":[{"delta":{},"finish_reason":"stop"}]}'],
  };
  const [first, last] = [role, stop] as readonly ResponsePart[] as readonly [
    ResponsePart,
    ResponsePart,
  ];
  const bench = new Bench(
    [eventHead, first, lost],
    [eventHead, first, tokens('a', 'b'), lost],
    [refused],
    [eventHead, first, tokens('c'), last, lost],
    [eventHead, last, lastEvents(10, 3), end],
  );
  const parts = await advanceUntilSettled(bench.clock, bench.collect('chat', {}));
  const events = parts.flatMap((part) => (part.kind === 'events' ? part.data : []));
  const count = (text: string): number => events.filter((data) => data.includes(text)).length;
  assert.deepEqual(
    [count('role'), count('finish_reason'), count('usage'), count('[DONE]')],
    [1, 1, 1, 1],
  );
  assert.equal(parts.map(textOf).join(''), 'abc.');
});

test('nothing is sent with a permit that expired before use', async () => {
  const bench = new Bench(ok);
  bench.permits.expiredPermits = 2;
  assert.equal(await bench.run('pay'), 'ok|complete');
  assert.deepEqual(bench.outcomes, ['unused', 'unused', 'used']);
  assert.equal(bench.sent.length, 1);
});

test('a rejection by admission control is passed on and counted', async () => {
  const bench = new Bench(ok);
  bench.permits.refusal = notRun('queueLimit', 'the queue is full');
  assert.equal(await bench.run('read'), '|notRun queueLimit');
  assert.equal(bench.metrics.counts.get('request.failed queueLimit'), 1);
});

test('a repeated request with a key gets the recorded response, and one that did not run frees its key', async () => {
  const bench = new Bench(ok);
  bench.permits.refusal = notRun('queueLimit', 'the queue is full');
  assert.equal(await bench.run('pay', { key: 'k' }), '|notRun queueLimit');
  bench.permits.refusal = undefined;
  assert.equal(await bench.run('pay', { key: 'k' }), 'ok|complete');
  assert.equal(await bench.run('pay', { key: 'k' }), 'ok|complete');
  assert.equal(bench.sent.length, 1);
});

test('a request with a key runs on after its caller disconnects, and its response is recorded', async () => {
  const bench = new Bench([plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end]);
  const running = bench.run('pay', { key: 'k' });
  await bench.clock.advance(200);
  bench.caller.abort();
  await running;
  assert.equal(await bench.run('pay', { key: 'k' }), 'ok|complete');
  assert.equal(bench.sent.length, 1);
});

test('a request with a key whose connection was lost is not sent again', async () => {
  const bench = new Bench([lost]);
  assert.equal(await bench.run('pay', { key: 'k' }), '|mayHaveRun connectionLost');
  assert.equal(await bench.run('pay', { key: 'k' }), '|mayHaveRun claimUnresolved');
  assert.equal(bench.sent.length, 1);
});
