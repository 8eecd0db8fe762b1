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

/** One router with fake servers; `run` returns what its caller got. */
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

  /** The text and the end that the caller got: `whole`, or verdict and reason. */
  async run(entry: string, options: Partial<Call> = {}): Promise<string> {
    const pieces = await advanceUntilSettled(this.clock, this.collect(entry, options));
    const text = pieces.map(textOf).join('');
    const last = pieces.at(-1);
    if (last?.kind !== 'failed') return `${text}|whole`;
    return `${text}|${last.failure.verdict} ${last.failure.reason}`;
  }

  /** Requests that the servers got, as `kind address offset`. */
  get sent(): readonly string[] {
    return this.backend.sent.map(({ kind, address, offset }) => `${kind} ${address} ${offset}`);
  }

  get outcomes(): readonly string[] {
    return this.permits.finished.map(({ outcome }) => outcome);
  }

  /** The pieces that the caller got. */
  async collect(entry: string, options: Partial<Call>): Promise<readonly ResponsePart[]> {
    this.#calls += 1;
    const body = Buffer.from('{"messages":[]}');
    const request = { method: 'POST', path: '/x', headers: {}, body };
    const id = `c${this.#calls}`;
    const stream = entry === 'chat' || entry === 'agent';
    const call = { id, entry, request, stream, key: null, hint: undefined, ...options };
    const pieces: ResponsePart[] = [];
    for await (const piece of this.#executor.run(call, this.caller.signal)) {
      assert.ok(!pieces.some(({ kind }) => kind === 'end' || kind === 'failed'), 'a second end');
      pieces.push(piece);
    }
    assert.ok(['end', 'failed'].includes(pieces.at(-1)?.kind ?? ''), 'no end');
    assert.equal(this.permits.finished.length, this.permits.revocations.length, 'lost permits');
    return pieces;
  }
}

function textOf(piece: ResponsePart): string {
  if (piece.kind === 'bytes') return Buffer.from(piece.bytes).toString();
  if (piece.kind !== 'events') return '';
  return piece.data
    .map((data) => /"content":"(.*?)"/.exec(data)?.[1] ?? (data === '[DONE]' ? '.' : ''))
    .join('');
}

const ab: readonly Step[] = [eventHead, tokens('a', 'b')];
const rest: readonly Step[] = [eventHead, tokens('c'), lastEvents(10, 3), end];
const whole: readonly Step[] = [eventHead, tokens('a', 'b', 'c'), lastEvents(10, 3), end];
const ok: readonly Step[] = [plainHead(200, { 'content-length': '2' }), bytes('ok'), end];
const gone = plainHead(404);
const busy = plainHead(503, { 'retry-after': '1' });
const crossed = plainHead(200, { 'x-request-id': 'another', 'content-length': '2' });

interface Case {
  readonly name: string;
  readonly entry: string;
  readonly scripts: readonly (readonly Step[])[];
  readonly got: string;
  readonly sent: readonly string[];
}

const cases: readonly Case[] = [
  {
    name: 'a cut stream resumes at its offset on a new connection to the same server',
    entry: 'chat',
    scripts: [[...ab, lost], rest],
    got: 'abc.|whole',
    sent: ['send a1 0', 'resume a1 2'],
  },
  {
    name: 'a stream that ends without its end mark resumes',
    entry: 'agent',
    scripts: [[...ab, end], rest],
    got: 'abc.|whole',
    sent: ['send a1 0', 'resume a1 2'],
  },
  {
    name: 'a silent stream resumes',
    entry: 'chat',
    scripts: [[...ab, 'hang'], rest],
    got: 'abc.|whole',
    sent: ['send a1 0', 'resume a1 2'],
  },
  {
    name: 'signs of life keep a slow stream on its connection',
    entry: 'chat',
    scripts: [[eventHead, 1_500, { kind: 'alive' }, 1_500, ...whole.slice(1)]],
    got: 'abc.|whole',
    sent: ['send a1 0'],
  },
  {
    name: 'a stream whose server is gone continues on another one from its text',
    entry: 'chat',
    scripts: [[...ab, lost], [refused], rest],
    got: 'abc.|whole',
    sent: ['send a1 0', 'resume a1 2', 'cancel a1 0', 'send a2 0'],
  },
  {
    name: 'a stream that its restarted server does not know continues on another one',
    entry: 'chat',
    scripts: [[...ab, lost], [gone], rest],
    got: 'abc.|whole',
    sent: ['send a1 0', 'resume a1 2', 'cancel a1 0', 'send a2 0'],
  },
  {
    name: 'non-idempotent work whose stream is lost gets an error after the text so far',
    entry: 'agent',
    scripts: [[...ab, lost], [refused]],
    got: 'ab|mayHaveRun connectFailed',
    sent: ['send a1 0', 'resume a1 2', 'cancel a1 0'],
  },
  {
    name: 'a stream that keeps breaking without a token is given up after three new connections',
    entry: 'agent',
    scripts: [[...ab, lost], [lost]],
    got: 'ab|mayHaveRun connectionLost',
    sent: ['send a1 0', 'resume a1 2', 'resume a1 2', 'resume a1 2', 'cancel a1 0'],
  },
  {
    name: 'an answer with the id of another request is discarded and the request repeated',
    entry: 'read',
    scripts: [[crossed, bytes('no'), end], ok],
    got: 'ok|whole',
    sent: ['send a1 0', 'send a2 0'],
  },
  {
    name: 'non-idempotent work is not repeated after a mismatched answer',
    entry: 'pay',
    scripts: [[crossed, bytes('no'), end], ok],
    got: '|mayHaveRun answerMismatch',
    sent: ['send a1 0'],
  },
  {
    name: 'non-idempotent work is not repeated once its first byte may have left',
    entry: 'pay',
    scripts: [[lost], ok],
    got: '|mayHaveRun connectionLost',
    sent: ['send a1 0'],
  },
  {
    name: 'a refused connection is retried elsewhere even for non-idempotent work',
    entry: 'pay',
    scripts: [[refused], ok],
    got: 'ok|whole',
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
    name: 'one attempt that may have run decides the verdict of all',
    entry: 'read',
    scripts: [[lost], [refused]],
    got: '|mayHaveRun retriesExhausted',
    sent: ['send a1 0', 'send a2 0', 'send a3 0'],
  },
  {
    name: 'an engine that refuses has not run the request',
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
    name: 'a small answer that is cut is repeated, because nothing of it was handed on',
    entry: 'read',
    scripts: [[plainHead(200, { 'content-length': '4' }), bytes('ok'), lost], ok],
    got: 'ok|whole',
    sent: ['send a1 0', 'send a2 0'],
  },
  {
    name: 'an answer that is cut after a part was handed on is not repeated',
    entry: 'read',
    scripts: [[plainHead(200), bytes('part'), lost], ok],
    got: 'part|mayHaveRun connectionLost',
    sent: ['send a1 0'],
  },
  // Guards against events of a second run behind the plain answer of the first.
  {
    name: 'a plain answer to a request for a stream is neither resumed nor repeated once a part was handed on',
    entry: 'chat',
    scripts: [[plainHead(200), bytes('part'), lost], rest, whole],
    got: 'part|mayHaveRun connectionLost',
    sent: ['send a1 0', 'cancel a1 0'],
  },
  // Guards against the events of a run that goes well under the status of one that failed.
  {
    name: 'a stream of events with an error status is neither resumed nor repeated once a part was handed on',
    entry: 'chat',
    scripts: [[{ ...eventHead, status: 500 }, tokens('a'), lost], rest, whole],
    got: 'a|mayHaveRun connectionLost',
    sent: ['send a1 0', 'cancel a1 0'],
  },
  // Guards against streams that are given up, or end with an internal error, for an event that says nothing.
  ...[
    '{"choices":[{"index":0,"delta":{"role":"assistant","content":"","tool_calls":[],"refusal":null}}]}',
    '{"choices":[{"delta":null},null]}',
    '{"choices":[],"usage":null}',
  ].map((data) => ({
    name: `a stream is resumed behind the event ${data}`,
    entry: 'chat',
    scripts: [[eventHead, { kind: 'events', data: [data] }, lost], rest] as const,
    got: 'c.|whole',
    sent: ['send a1 0', 'resume a1 0'],
  })),
  // Guards against two runs in one stream: an offset in tokens and a text say nothing of such events.
  ...[
    '{"choices":[{"delta":{"tool_calls":[{"function":{"arguments":"{"}}]}}]}',
    '{"choices":[{"index":1,"delta":{"content":""}}]}',
    '{"error":{"message":"out of memory"}}',
    '{"choices":{"delta":{}}}',
    'no JSON',
  ].map((data) => ({
    name: `a stream is neither resumed nor repeated behind the event ${data}`,
    entry: 'chat',
    scripts: [[eventHead, { kind: 'events', data: [data] }, lost], rest, whole] as const,
    got: '|mayHaveRun connectionLost',
    sent: ['send a1 0', 'cancel a1 0'],
  })),
  {
    name: 'a request that runs longer than maxRun is cancelled and not repeated',
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

test('a continued stream names the tokens and the text so far, and costs what each server did', async () => {
  const bench = new Bench([...ab, lost], [refused], rest);
  await bench.run('chat');
  const body = JSON.parse(bench.backend.sent.at(-1)?.body ?? '') as Record<string, unknown>;
  assert.deepEqual(body, { messages: [], continue_from: { tokens: 2, text: 'ab' } });
  assert.deepEqual(
    bench.permits.finished.map(({ cost }) => Math.round(cost)),
    [2, 4],
  );
});

test('a retry keeps the time of its arrival and avoids the servers that failed', async () => {
  const bench = new Bench([refused]);
  await bench.clock.advance(1_000);
  await bench.run('read');
  assert.deepEqual(
    bench.permits.works.map(({ arrived, avoidedServers: avoid }) => ({ arrived, avoid })),
    [
      { arrived: 1_000, avoid: [] },
      { arrived: 1_000, avoid: ['s1'] },
      { arrived: 1_000, avoid: ['s1', 's2'] },
    ],
  );
});

test('retries stay within a tenth of the requests of the service', async () => {
  const bench = new Bench([lost]);
  const told = await advanceUntilSettled(
    bench.clock,
    Promise.all(Array.from({ length: 400 }, () => bench.run('read'))),
  );
  const retries = bench.sent.length - 400;
  assert.ok(retries <= 400 * 0.1 + 10, `${retries} retries`);
  assert.ok(told.includes('|mayHaveRun retryBudget'));
  assert.equal(bench.metrics.counts.get('request.retried connectionLost'), retries);
});

test('refused connections do not use up the budget, but each request stays at three attempts', async () => {
  const bench = new Bench([refused]);
  const told = await advanceUntilSettled(
    bench.clock,
    Promise.all(Array.from({ length: 100 }, () => bench.run('read'))),
  );
  assert.equal(bench.sent.length, 300);
  assert.deepEqual([...new Set(told)], ['|notRun retriesExhausted']);
});

test('a request waits for another server while only the one that failed it has permits', async () => {
  const bench = new Bench([refused], whole);
  bench.permits.stubborn = 6;
  assert.equal(await bench.run('chat'), 'abc.|whole');
  assert.deepEqual(bench.sent, ['send a1 0', 'send a2 0']);
  assert.equal(bench.outcomes.filter((outcome) => outcome === 'unused').length, 6);
});

test('a request takes the server that failed it in the end if no other has permits', async () => {
  const bench = new Bench([refused], whole);
  bench.permits.stubborn = 100;
  assert.equal(await bench.run('chat'), 'abc.|whole');
  assert.deepEqual(bench.sent, ['send a1 0', 'send a1 0']);
});

test('a plain answer that stays away for ten times the usual is asked for once more', async () => {
  const slow: readonly Step[] = [plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end];
  const answers = Array.from({ length: 50 }, () => slow);
  const bench = new Bench(...answers, ['hang'], [10_000, ...ok], ['hang']);
  for (let count = 0; count < 50; count += 1) await bench.run('read');
  const start = bench.clock.now();
  assert.equal(await bench.run('read'), 'ok|whole');
  assert.ok(bench.clock.now() - start < 16_000, 'the silent connection was found late');
  assert.equal(bench.metrics.counts.get('request.retried silentConnection'), 1);
  assert.equal(await bench.run('pay'), '|mayHaveRun deadline');
});

test('a caller that leaves has the work of the server cancelled', async () => {
  const bench = new Bench([...ab, 'hang']);
  const running = bench.run('chat');
  await bench.clock.advance(500);
  bench.caller.abort();
  assert.equal(await running, 'ab|mayHaveRun callerGone');
  assert.deepEqual(bench.sent, ['send a1 0', 'cancel a1 0']);
  assert.deepEqual(bench.outcomes, ['cancelled']);
});

test('a revoked stream moves to another server without using up a retry', async () => {
  const bench = new Bench([...ab, 'hang'], rest);
  const running = bench.run('chat');
  await bench.clock.advance(500);
  bench.permits.revocations[0]?.abort();
  assert.equal(await running, 'abc.|whole');
  assert.deepEqual(bench.sent, ['send a1 0', 'cancel a1 0', 'send a2 0']);
  assert.deepEqual(bench.outcomes, ['cancelled', 'used']);
});

// Guards against a second body behind the part that the caller has.
test('a plain answer whose permit is revoked after a part was handed on is not repeated', async () => {
  const bench = new Bench([plainHead(200), bytes('part'), 'hang'], ok);
  const running = bench.run('read');
  await bench.clock.advance(500);
  bench.permits.revocations[0]?.abort();
  assert.equal(await running, 'part|mayHaveRun revoked');
  assert.deepEqual(bench.sent, ['send a1 0']);
});

// Guards against a second body behind the part that the caller has.
test('a plain answer that falls silent after a part was handed on is not repeated', async () => {
  const slow: readonly Step[] = [plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end];
  const answers = Array.from({ length: 50 }, () => slow);
  const bench = new Bench(...answers, [plainHead(200), bytes('part'), 'hang'], ok);
  for (let count = 0; count < 50; count += 1) await bench.run('read');
  assert.equal(await bench.run('read'), 'part|mayHaveRun silentConnection');
  assert.equal(bench.sent.length, 51);
});

// Guards against a recorded answer that is made of the parts of two runs.
test('keyed work that was cut after a part was handed on is not sent again, and no part is recorded', async () => {
  const bench = new Bench([plainHead(200), bytes('part'), bytes('more'), lost], ok);
  assert.equal(await bench.run('pay', { key: 'k' }), 'part|mayHaveRun connectionLost');
  assert.equal(await bench.run('pay', { key: 'k' }), '|mayHaveRun claimUnresolved');
  assert.equal(bench.sent.length, 1);
});

// Guards against a stream without its finish reason, from an engine that sends its usage all along.
test('an event without text is handed on though an earlier one of its connection had a usage too', async () => {
  const usage = { prompt_tokens: 1, completion_tokens: 1 };
  const events = [
    { choices: [{ delta: { content: 'a' } }], usage },
    { choices: [{ delta: {}, finish_reason: 'stop' }], usage },
  ];
  const data = [...events.map((event) => JSON.stringify(event)), '[DONE]'];
  const bench = new Bench([eventHead, { kind: 'events', data }, end]);
  const pieces = await advanceUntilSettled(bench.clock, bench.collect('chat', {}));
  assert.deepEqual(pieces.at(1), { kind: 'events', data });
});

// Guards against events that the caller has already, when the connection that brought them breaks.
test('events without text come once, though a resumed or continued stream sends them again', async () => {
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
  const pieces = await advanceUntilSettled(bench.clock, bench.collect('chat', {}));
  const events = pieces.flatMap((piece) => (piece.kind === 'events' ? piece.data : []));
  const count = (text: string): number => events.filter((data) => data.includes(text)).length;
  assert.deepEqual(
    [count('role'), count('finish_reason'), count('usage'), count('[DONE]')],
    [1, 1, 1, 1],
  );
  assert.equal(pieces.map(textOf).join(''), 'abc.');
});

test('nothing is sent with a permit that expired unused', async () => {
  const bench = new Bench(ok);
  bench.permits.expired = 2;
  assert.equal(await bench.run('pay'), 'ok|whole');
  assert.deepEqual(bench.outcomes, ['unused', 'unused', 'used']);
  assert.equal(bench.sent.length, 1);
});

test('a refusal of admission is passed on and counted', async () => {
  const bench = new Bench(ok);
  bench.permits.refusal = notRun('queueLimit', 'the queue is full');
  assert.equal(await bench.run('read'), '|notRun queueLimit');
  assert.equal(bench.metrics.counts.get('request.failed queueLimit'), 1);
});

test('keyed work gets its recorded answer the second time, and frees its key if it did not run', async () => {
  const bench = new Bench(ok);
  bench.permits.refusal = notRun('queueLimit', 'the queue is full');
  assert.equal(await bench.run('pay', { key: 'k' }), '|notRun queueLimit');
  bench.permits.refusal = undefined;
  assert.equal(await bench.run('pay', { key: 'k' }), 'ok|whole');
  assert.equal(await bench.run('pay', { key: 'k' }), 'ok|whole');
  assert.equal(bench.sent.length, 1);
});

test('keyed work whose caller leaves runs on, and its answer is recorded', async () => {
  const bench = new Bench([plainHead(200, { 'content-length': '2' }), 500, bytes('ok'), end]);
  const running = bench.run('pay', { key: 'k' });
  await bench.clock.advance(200);
  bench.caller.abort();
  await running;
  assert.equal(await bench.run('pay', { key: 'k' }), 'ok|whole');
  assert.equal(bench.sent.length, 1);
});

test('keyed work that was cut is not sent again for the same key', async () => {
  const bench = new Bench([lost]);
  assert.equal(await bench.run('pay', { key: 'k' }), '|mayHaveRun connectionLost');
  assert.equal(await bench.run('pay', { key: 'k' }), '|mayHaveRun claimUnresolved');
  assert.equal(bench.sent.length, 1);
});
