// Runs random requests of several routers against servers and a table that fail in every way, with a fixed
// seed. Guards against incomplete or mixed answers, requests that run more often than allowed, and a
// verdict `notRun` for a request that ran.
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Attempt, Call, ResponsePart } from '@catkinwheel/protocol';
import { Clock, type Failure, type ManualClock } from '@catkinwheel/state';
import fc from 'fast-check';
import { Claims } from './claims.js';
import { Executor } from './executor.js';
import {
  bytes,
  catalogue,
  advanceUntilSettled,
  echo,
  end,
  eventHead,
  FakeMetrics,
  FakePermits,
  FaultyTable,
  lastEvents,
  lost,
  plainHead,
  refused,
  tokens,
} from './requestFakes.test.js';
import type { Backend, Random } from './ports.js';

const responseTokens = 12;
const tokenText = (content: string): string => `${content};`;

/** Servers that execute requests with or without an answer, and sometimes send a wrong one. */
class Servers implements Backend {
  readonly #clock: ManualClock;
  readonly #random: Random;
  /** Ids of the attempts that executed each `work` of a request body. */
  readonly executions = new Map<string, string[]>();
  readonly #streams = new Map<string, string>();

  constructor(clock: ManualClock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  async *send(
    _: string,
    attempt: Attempt,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const body = JSON.parse(Buffer.from(attempt.request.body ?? '').toString()) as {
      readonly work: string;
      readonly continue_from?: { readonly tokens: number; readonly text: string };
    };
    const from = body.continue_from?.tokens ?? 0;
    assert.equal(
      body.continue_from?.text ?? '',
      responseText(body.work, 0, from),
      'wrong continuation',
    );
    if (this.#happens(0.1)) {
      yield refused;
      return;
    }
    if (attempt.body === 'events' && this.#happens(0.05)) {
      yield* refusalByEngine(attempt.id);
      return;
    }
    if (from === 0) this.#execute(body.work, attempt.id);
    if (this.#happens(0.1)) {
      yield lost;
      return;
    }
    if (this.#happens(0.05)) {
      yield* wrongResponse();
      return;
    }
    if (attempt.body === 'bytes') return yield* this.#plain(body.work, attempt.id, signal);
    this.#streams.set(attempt.id, `${from} ${body.work}`);
    yield* this.#stream(attempt.id, 0, signal);
  }

  async *resume(
    _: string,
    id: string,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    if (this.#happens(0.2)) {
      yield refused;
      return;
    }
    if (this.#happens(0.1)) this.#streams.delete(id);
    if (!this.#streams.has(id)) {
      yield plainHead(404, { 'x-request-id': id });
      return;
    }
    yield* this.#stream(id, offset, signal);
  }

  cancel(): Promise<void> {
    return Promise.resolve();
  }

  async *#plain(
    work: string,
    id: string,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const text = responseText(work, 0, responseTokens);
    const length = this.#happens(0.5) ? { 'content-length': String(text.length) } : {};
    yield plainHead(200, { 'x-request-id': id, ...length });
    yield bytes(text.slice(0, 20));
    await this.#clock.sleep(this.#random() * 500, signal);
    if (signal.aborted || this.#happens(0.15)) {
      yield lost;
      return;
    }
    yield bytes(text.slice(20));
    yield end;
  }

  async *#stream(
    id: string,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const [from = '0', work = ''] = this.#streams.get(id)?.split(' ') ?? [];
    yield echo(eventHead, id);
    for (let token = Number(from) + offset; token < responseTokens; token += 1) {
      await this.#clock.sleep(this.#random() * 200, signal);
      if (signal.aborted || this.#happens(0.04)) {
        yield lost;
        return;
      }
      if (this.#happens(0.02)) {
        yield* this.#silence(signal);
        return;
      }
      yield tokens(tokenText(`${work}.${token}`));
    }
    yield lastEvents(10, responseTokens);
    if (!this.#happens(0.05)) yield end;
    else yield lost;
  }

  async *#silence(signal: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    while (!signal.aborted) await this.#clock.sleep(100, signal);
    yield lost;
  }

  #execute(work: string, attempt: string): void {
    this.executions.set(work, [...(this.executions.get(work) ?? []), attempt]);
  }

  #happens(probability: number): boolean {
    return this.#random() < probability;
  }
}

function* refusalByEngine(id: string): Generator<ResponsePart> {
  yield plainHead(503, { 'x-request-id': id, 'retry-after': '1' });
}

function* wrongResponse(): Generator<ResponsePart> {
  yield plainHead(200, { 'x-request-id': 'other', 'content-length': '5' });
  yield bytes('wrong');
  yield end;
}

function responseText(work: string, from: number, to: number): string {
  return Array.from({ length: to - from }, (_, index) => tokenText(`${work}.${from + index}`)).join(
    '',
  );
}

class World {
  readonly clock: ManualClock = Clock.manual();
  readonly #random: Random;
  readonly #table = new FaultyTable();
  readonly #permits = new FakePermits();
  readonly #servers: Servers;
  readonly #dead = new Set<string>();
  readonly #routers: readonly Executor[];
  readonly outcomes = new Map<string, number>();
  #requests = 0;

  constructor(random: Random) {
    this.#random = random;
    this.#servers = new Servers(this.clock, random);
    this.#table.fault = () => {
      const roll = random();
      if (roll < 0.05) return 'unavailable';
      if (roll < 0.1) return 'lostBefore';
      return roll < 0.15 ? 'lostAfter' : 'none';
    };
    this.#routers = ['r1', 'r2', 'r3'].map((name) => this.#router(name));
  }

  /** Runs callers that send one request after another; some share idempotency keys. */
  async run(): Promise<void> {
    const callers = Array.from({ length: 12 }, (_, caller) => this.#caller(caller));
    await advanceUntilSettled(this.clock, Promise.all(callers));
    assert.equal(this.#permits.finished.length, this.#permits.works.length, 'a permit was lost');
  }

  #router(name: string): Executor {
    const { clock } = this;
    const metrics = new FakeMetrics();
    const liveness = (router: string): Promise<'live' | 'dead'> =>
      Promise.resolve(this.#dead.has(router) ? 'dead' : 'live');
    return Executor.create({
      catalogue: { current: () => catalogue },
      permits: this.#permits,
      backend: this.#servers,
      claims: Claims.create({
        table: this.#table,
        sessions: { liveness },
        self: { name, incarnation: name },
        clock,
        metrics,
      }),
      clock,
      metrics,
      random: this.#random,
    });
  }

  async #caller(caller: number): Promise<void> {
    for (let count = 0; count < 8; count += 1) {
      const entry = ['chat', 'agent', 'read', 'pay'][caller % 4] ?? 'pay';
      const isKeyed = entry === 'pay' && this.#random() < 0.7;
      const work = isKeyed ? `key${Math.floor(this.#random() * 4)}` : `w${caller}-${count}`;
      // A router whose session looks dead while it continues to run is one that was paused.
      if (this.#random() < 0.1) this.#dead.add(`r${1 + (caller % 3)}`);
      await this.#sendRequest(caller % 3, entry, work, isKeyed ? work : null);
    }
  }

  async #sendRequest(
    router: number,
    entry: string,
    work: string,
    key: string | null,
  ): Promise<void> {
    this.#requests += 1;
    const id = `q${this.#requests}`;
    const body = Buffer.from(JSON.stringify({ work }));
    const request = { method: 'POST', path: '/x', headers: {}, body };
    const stream = entry === 'chat' || entry === 'agent';
    const call: Call = { id, entry, request, stream, key, hint: undefined };
    const caller = new AbortController();
    const disconnect = this.#random() < 0.05 ? this.#disconnectLater(caller) : undefined;
    let text = '';
    let failure: Failure | undefined;
    for await (const piece of this.#routers[router]?.run(call, caller.signal) ?? []) {
      if (piece.kind === 'bytes') text += Buffer.from(piece.bytes).toString();
      if (piece.kind === 'events') text += contentOf(piece.data);
      if (piece.kind === 'failed') ({ failure } = piece);
      if (this.#random() < 0.01) this.#revoke();
    }
    await disconnect;
    this.#check(call, { work, idempotent: entry === 'chat' || entry === 'read' }, text, failure);
  }

  #check(
    call: Call,
    { work, idempotent }: { readonly work: string; readonly idempotent: boolean },
    text: string,
    failure: Failure | undefined,
  ): void {
    const expected = responseText(work, 0, responseTokens);
    if (failure === undefined) assert.equal(text, expected, 'an answer was incomplete');
    else assert.ok(expected.startsWith(text), 'an answer contained parts of another one');
    const executions = this.#servers.executions.get(work) ?? [];
    if (!idempotent) assert.ok(executions.length <= 1, `${work} ran ${executions.join(' ')}`);
    if (failure?.verdict === 'notRun') {
      const own = executions.filter((attempt) => attempt.startsWith(`${call.id}.`));
      assert.deepEqual(own, [], 'a request that ran has the verdict notRun');
    }
    const outcome = failure === undefined ? 'complete' : `${failure.verdict} ${failure.reason}`;
    this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
  }

  #revoke(): void {
    const { revocations } = this.#permits;
    revocations[Math.floor(this.#random() * revocations.length)]?.abort();
  }

  async #disconnectLater(caller: AbortController): Promise<void> {
    await this.clock.sleep(this.#random() * 1_000);
    caller.abort();
  }
}

function contentOf(data: readonly string[]): string {
  return data.map((event) => /"content":"(.*?)"/.exec(event)?.[1] ?? '').join('');
}

test('with any failures, answers are complete, only idempotent requests run twice, and notRun is true', async () => {
  const outcomes = new Map<string, number>();
  const steps = 2 ** 30;
  const numbers = fc.infiniteStream(fc.noBias(fc.integer({ min: 0, max: steps - 1 })));
  const property = fc.asyncProperty(numbers, async (stream) => {
    const world = new World(() => Number(stream.next().value) / steps);
    await world.run();
    for (const [outcome, count] of world.outcomes)
      outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + count);
  });
  await fc.assert(property, { seed: 20_261_204, numRuns: 25, endOnFailure: true });
  for (const outcome of ['complete', 'notRun platformUnavailable', 'mayHaveRun claimUnresolved']) {
    assert.ok((outcomes.get(outcome) ?? 0) > 0, `never observed: ${outcome}`);
  }
});
