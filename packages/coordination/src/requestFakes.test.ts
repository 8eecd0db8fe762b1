// Stand-ins for everything outside the decisions, shared by the tests of this package.
import type {
  Attempt,
  Commit,
  ResponseHead,
  ResponsePart,
  Row,
  Transaction,
} from '@catkinwheel/protocol';
import type { Catalogue, Entry, Failure, ManualClock, Outcome } from '@catkinwheel/state';
import { emptyCatalogue, mayHaveRun, notRun } from '@catkinwheel/state';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';
import type {
  Backend,
  Metrics,
  PermitSource,
  PlatformFailure,
  Table,
  PermitHandle,
  PermitRequest,
} from './ports.js';

/** What happens to one transaction or read. */
export type Fault = 'none' | 'unavailable' | 'lostBefore' | 'lostAfter';

/** A table in memory whose next requests can be made to fail. */
export class FaultyTable implements Table {
  readonly #rows = new Map<string, Row>();
  #version = 0;
  transactions = 0;
  fault: (transaction: Transaction | undefined) => Fault = () => 'none';

  transact(transaction: Transaction): ResultAsync<Commit, PlatformFailure> {
    this.transactions += 1;
    const fault = this.fault(transaction);
    if (fault === 'unavailable') return errAsync({ kind: 'unavailable', detail: 'down' });
    if (fault === 'lostBefore') return errAsync({ kind: 'unknown', detail: 'lost' });
    const keys = transaction.checks
      .filter(({ key, version }) => (this.#rows.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (keys.length === 0) this.#apply(transaction);
    if (fault === 'lostAfter') return errAsync({ kind: 'unknown', detail: 'lost' });
    return keys.length > 0
      ? errAsync({ kind: 'conflict', keys })
      : okAsync({ version: this.#version });
  }

  rows(prefix: string): ResultAsync<readonly Row[], PlatformFailure> {
    if (this.fault(undefined) !== 'none') return errAsync({ kind: 'unavailable', detail: 'down' });
    return okAsync([...this.#rows.values()].filter(({ key }) => key.startsWith(prefix)));
  }

  #apply({ puts, deletes }: Transaction): void {
    this.#version += 1;
    for (const { key, value } of puts) {
      this.#rows.set(key, { key, version: this.#version, value });
    }
    for (const key of deletes) this.#rows.delete(key);
  }
}

/** Advances the clock until the promise settles; fails after a minute of its time. */
export async function advanceUntilSettled<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
  const settled = new Set<string>();
  const settle = (): unknown => settled.add('settled');
  promise.then(settle, settle);
  for (let step = 0; step < 2_400 && settled.size === 0; step += 1) await clock.advance(25);
  if (settled.size === 0) throw new Error('the promise did not settle within a minute');
  return promise;
}

/** Metrics that only count; a counter is found by its name and the value of its first tag. */
export class FakeMetrics implements Metrics {
  readonly counts = new Map<string, number>();

  count(name: string, tags: Readonly<Record<string, string>> = {}): void {
    const key = [name, ...Object.values(tags).slice(0, 1)].join(' ');
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
  }

  gauge(): void {
    // Not looked at.
  }

  timing(): void {
    // Not looked at.
  }
}

/** What became of a permit. */
export interface Finished {
  readonly server: string;
  readonly outcome: Outcome;
  readonly cost: number;
}

/** Grants at once, on the first server of the service that the work does not avoid. */
export class FakePermits implements PermitSource {
  readonly works: PermitRequest[] = [];
  readonly finished: Finished[] = [];
  readonly revocations: AbortController[] = [];
  /** Permits that expire before they are used. */
  expired = 0;
  /** Permits that are granted for an avoided server, because the others are busy. */
  stubborn = 0;
  refusal: Failure | undefined;

  acquire(work: PermitRequest): ResultAsync<PermitHandle, Failure> {
    this.works.push(work);
    if (this.refusal !== undefined) return errAsync(this.refusal);
    const servers = ['s1', 's2', 's3', 's4'];
    this.stubborn -= work.avoidedServers.length > 0 ? 1 : 0;
    const preferred = servers.find((name) => !work.avoidedServers.includes(name)) ?? 's1';
    const server = this.stubborn >= 0 ? 's1' : preferred;
    const revocation = new AbortController();
    this.revocations.push(revocation);
    const sequence = this.works.length;
    const { service, team } = work;
    let isOpen = true;
    return okAsync({
      permit: { id: `p${sequence}`, server, fence: 1, service, team, sequence },
      revoked: revocation.signal,
      markSent: () => {
        this.expired -= 1;
        return this.expired < 0;
      },
      reportFirstByte: () => undefined,
      reportCost: () => undefined,
      finish: (outcome, _, cost) => {
        if (isOpen) this.finished.push({ server, outcome, cost });
        isOpen = false;
      },
    });
  }
}

/** What a server does with one connection: pieces, an endless wait, or pauses of some milliseconds. */
export type Step = ResponsePart | 'hang' | number;

/** A request that reached the fake servers. */
export interface Sent {
  readonly kind: 'send' | 'resume' | 'cancel';
  readonly address: string;
  readonly id: string;
  readonly body: string;
  readonly offset: number;
}

/** Servers that play one script for each connection, in order; the last one is repeated. */
export class FakeBackend implements Backend {
  readonly sent: Sent[] = [];
  readonly #clock: ManualClock;
  readonly #scripts: readonly (readonly Step[])[];
  #next = 0;

  constructor(clock: ManualClock, scripts: readonly (readonly Step[])[]) {
    this.#clock = clock;
    this.#scripts = scripts;
  }

  send(
    address: string,
    attempt: Attempt,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    const { id, request } = attempt;
    const body = request.body === null ? '' : Buffer.from(request.body).toString();
    this.sent.push({ kind: 'send', address, id, body, offset: 0 });
    return this.#play(id, signal);
  }

  resume(
    address: string,
    id: string,
    offset: number,
    signal: AbortSignal,
  ): AsyncGenerator<ResponsePart, void, void> {
    this.sent.push({ kind: 'resume', address, id, body: '', offset });
    return this.#play(id, signal);
  }

  cancel(address: string, id: string): Promise<void> {
    this.sent.push({ kind: 'cancel', address, id, body: '', offset: 0 });
    return Promise.resolve();
  }

  async *#play(id: string, signal: AbortSignal): AsyncGenerator<ResponsePart, void, void> {
    const script = this.#scripts[Math.min(this.#next, this.#scripts.length - 1)] ?? [];
    this.#next += 1;
    const aborted = new Promise<void>((resolve) => {
      signal.addEventListener('abort', () => {
        resolve();
      });
    });
    for (const step of script) {
      if (step === 'hang') await aborted;
      else if (typeof step === 'number') await this.#clock.sleep(step, signal);
      else yield step.kind === 'head' ? echo(step, id) : step;
      if (signal.aborted) break;
    }
    yield { kind: 'failed', failure: mayHaveRun('connectionLost', 'closed') };
  }
}

/** The head with the echoed id, unless it has another one. */
export function echo(head: ResponseHead, id: string): ResponseHead {
  return { ...head, headers: { 'x-request-id': id, ...head.headers } };
}

/** Pieces and scripts of servers. */
export const eventHead: ResponseHead = { kind: 'head', status: 200, headers: {}, events: true };
export const end: ResponsePart = { kind: 'end' };
export const lost: ResponsePart = { kind: 'failed', failure: mayHaveRun('connectionLost', 'cut') };
export const refused: ResponsePart = {
  kind: 'failed',
  failure: notRun('connectFailed', 'refused'),
};

export function tokens(...contents: string[]): ResponsePart {
  const data = contents.map((content) => JSON.stringify({ choices: [{ delta: { content } }] }));
  return { kind: 'events', data };
}

export function lastEvents(prompt: number, completion: number): ResponsePart {
  const usage = { prompt_tokens: prompt, completion_tokens: completion };
  return { kind: 'events', data: [JSON.stringify({ choices: [], usage }), '[DONE]'] };
}

export function plainHead(
  status: number,
  headers: Readonly<Record<string, string>> = {},
): ResponseHead {
  return { kind: 'head', status, headers, events: false };
}

export function bytes(text: string): ResponsePart {
  return { kind: 'bytes', bytes: Buffer.from(text) };
}

const entry: Entry = {
  team: 't',
  service: 'model',
  class: 'interactive',
  idempotent: true,
  maxWait: 1_000,
  maxRun: 30_000,
};

function server(service: string, address: string): Catalogue['servers'][string] {
  return { service, address, vm: 'v', dataCentre: 'd', checksFence: true };
}

/** Entries `chat` and `read` may run twice, `agent` and `pay` may not. */
export const catalogue: Catalogue = {
  ...emptyCatalogue,
  revision: 1,
  services: {
    model: { kind: 'model', model: 'letters', coldLimit: 1, warmLimit: 4 },
    desk: { kind: 'plain', coldLimit: 1, warmLimit: 4 },
  },
  servers: {
    s1: server('model', 'a1'),
    s2: server('model', 'a2'),
    s3: server('model', 'a3'),
    s4: server('model', 'a4'),
  },
  entries: {
    chat: entry,
    agent: { ...entry, idempotent: false },
    read: { ...entry, service: 'desk' },
    pay: { ...entry, service: 'desk', idempotent: false },
  },
};
