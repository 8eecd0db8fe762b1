// What callers get on connections that they keep when servers spoil single answers, break them off or send more than
// one. Every byte that comes to a caller is checked, for requests that may be repeated, may not, and may be resumed.

import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { runFaults, type Asked, type RequestKind } from './answerCheck.js';
import { textOf, type Behaviour, type ExtraBytes } from './behaviour.js';
import { StackFleet, until } from './fleet.js';
import { KeptCaller } from './keptCaller.js';
import type { StackServer } from './server.js';

const kinds = ['reads', 'charges', 'letters'] as const;
/** Callers that send at once, so that connections to servers pass from one caller to another. */
const callerCount = 3;
const requestsEach = 4;
/** Time in which late bytes come. */
const lateTime = 250;
/** Time between requests in which a connection to a server is idle while a late answer comes on it. */
const idleTime = 60;
/** Half of such a body is more than a router holds until it is whole, and so is a part that comes so late. */
const longBody = 256 * 1024;
const slowPart = 700;

let fleet: StackFleet;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  await fleet.addRouter();
  await fleet.ready();
});

after(() => fleet.close());

/** Callers of one test, and all that they saw. */
class Trial {
  readonly faults: string[] = [];
  readonly #all: Asked[] = [];
  readonly #callers: readonly KeptCaller[];

  private constructor(
    private readonly kind: RequestKind,
    private readonly method: string | undefined,
  ) {
    const address = fleet.routers[0]?.settings.listen.callers ?? '';
    this.#callers = Array.from({ length: callerCount }, () =>
      KeptCaller.create(
        address,
        () => [...fleet.models, ...fleet.desks],
        (fault) => this.faults.push(fault),
      ),
    );
  }

  static create(kind: RequestKind, method?: string): Trial {
    return new Trial(kind, method);
  }

  get servers(): readonly StackServer[] {
    return this.kind === 'letters' ? fleet.models : fleet.desks;
  }

  async ask(index = 0): Promise<Asked> {
    sent += 1;
    const options = this.method === undefined ? {} : { method: this.method };
    const asked = await this.#callers[index]?.ask(`fault-${sent}`, this.kind, options);
    assert.ok(asked !== undefined);
    this.#all.push(asked);
    return asked;
  }

  /** One server treats a request in the given way while the other one answers; one caller sends all requests. */
  async oneServer(behaviour: Behaviour): Promise<void> {
    const { id } = await this.ask();
    const server = this.servers.find(({ ran }) => ran.includes(id)) ?? this.servers[0];
    assert.ok(server !== undefined);
    server.behaviours = [behaviour];
    await until(async () => {
      await this.ask();
      return server.behaviours.length === 0 && server.pending === 0;
    });
    for (let request = 0; request < requestsEach; request += 1) {
      await this.ask();
      if (request % 2 === 1) await pause(idleTime);
    }
  }

  /** All servers treat the next requests in the given way; all callers send at once. */
  async allServers(behaviour: Behaviour): Promise<void> {
    for (const server of this.servers) server.behaviours = [behaviour, behaviour];
    const sending = this.#callers.map(async (_, index) => {
      for (let request = 0; request < requestsEach; request += 1) await this.ask(index);
    });
    await Promise.all(sending);
    for (const server of this.servers) server.behaviours = [];
    for (const index of this.#callers.keys()) await this.ask(index);
  }

  /** What was wrong, some time after the last answer. */
  async end(): Promise<readonly string[]> {
    await pause(lateTime);
    for (const caller of this.#callers) {
      caller.checkExcess();
      caller.close();
    }
    // Bytes that are still to come would reach the next test.
    for (const server of this.servers) server.dropConnections();
    const all = this.#all.map(({ id, kind, answer }) => ({
      id,
      kind,
      status: answer.kind === 'whole' ? answer.status : undefined,
    }));
    return [...this.faults, ...runFaults(all, this.servers)];
  }
}

async function faultsWith(
  behaviour: Behaviour,
  kind: RequestKind,
  method?: string,
): Promise<readonly string[]> {
  const trial = Trial.create(kind, method);
  await trial.oneServer(behaviour);
  await trial.allServers(behaviour);
  return trial.end();
}

/** A test for each kind of request. */
function guard(name: string, behaviour: Behaviour): void {
  for (const kind of kinds)
    test(`${kind}: ${name}`, async () => {
      assert.deepEqual(await faultsWith(behaviour, kind), []);
    });
}

/** The same for plain answers that a router hands on before they are whole. */
function guardHandedOn(name: string, behaviour: Behaviour): void {
  for (const kind of ['reads', 'charges'] as const) {
    for (const [text, changes] of [
      ['in a long answer', { padding: longBody }],
      ['in a slow answer', { partPause: slowPart }],
    ] as const)
      test(`${kind}: ${name} ${text}`, async (t) => {
        t.after(() => {
          for (const server of fleet.desks) Object.assign(server, { padding: 0, partPause: 20 });
        });
        for (const server of fleet.desks) Object.assign(server, changes);
        assert.deepEqual(await faultsWith(behaviour, kind), []);
      });
  }
}

function extra(content: ExtraBytes['content'], when: ExtraBytes['when'], hasId = true): ExtraBytes {
  return { kind: 'extra', content, hasId, when };
}

// Guards against faults of the checks and of the callers themselves.
guard('whole answers', 'answers');

// Guards against a part that is lost or comes twice when an answer is no longer held.
guardHandedOn('whole answers', 'answersInParts');

// Guards against a refused request that is reported as one that may have run, or sent on after its refusal.
guard('a server that is full', 'refuses');

// Guards against a failure with the seal of a server that gave another one, and against charges that run twice.
guard('a server that fails', 'errors');

// Guards against a failure that is taken as that of another request, since it has no seal.
guard('a failure without seal', 'errorsUnsigned');

// Guards against a failure that is taken as that of another request, since it names none.
guard('a failure without id', 'errorsWithoutId');

// Guards against a promise that the request has not run, made from a status alone though the server ran it.
guard('a server that ran the request and answers 503 without the promise', 'errorsAsFull');

// Guards against an answer of another request.
guard('an answer with the id of another request', 'confuses');

// Guards against bytes, or a wait for them, behind a success without body.
guard('204', 'noContent');

// Guards against bytes, or a wait for them, behind an answer without body that is no success.
guard('304', 'notModified');

// Guards against a body that callers cannot read, since they asked for no encoding.
guard('a body with an encoding', 'encodes');

// Guards against a second run behind what came before the reset.
guard('a reset without answer', 'resets');

// Guards against the bytes of a second run behind those of the first, and against bytes beyond the declared length.
guard('a connection that ends in the middle of the answer', 'cuts');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('a connection that ends in the middle of the answer', 'cuts');

// Guards against a cut answer that looks whole, since its connection was to be closed anyway.
guard('an end before the declared length, with Connection: close', 'endsInLength');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('an end before the declared length, with Connection: close', 'endsInLength');

// Guards against a cut chunk that is taken as the last one.
guard('an end within a chunk', 'endsInChunk');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('an end within a chunk', 'endsInChunk');

// Guards against a cut chunk that is taken as the last one, since the connection was to be closed anyway.
guard('an end within a chunk, with Connection: close', 'endsInChunkClosing');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('an end within a chunk, with Connection: close', 'endsInChunkClosing');

// Guards against a chunk that is taken as the last one.
guard('an end between two chunks', 'endsBetweenChunks');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('an end between two chunks', 'endsBetweenChunks');

// Guards against a chunk that is taken as the last one, since the connection was to be closed anyway.
guard('an end between two chunks, with Connection: close', 'endsBetweenChunksClosing');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('an end between two chunks, with Connection: close', 'endsBetweenChunksClosing');

// Guards against a reset that is taken as the end of the chunks.
guard('a reset between two chunks, with Connection: close', 'resetsChunked');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('a reset between two chunks, with Connection: close', 'resetsChunked');

// Guards against a reset that is taken as the end of an answer without length.
guard('a reset in an answer without length', 'resetsUnframed');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('a reset in an answer without length', 'resetsUnframed');

// Guards against an answer without length that is handed on in part, or runs again behind it.
guard('an answer without length that is whole', 'closesUnframed');

// Guards against the same once a part of the answer was handed on.
guardHandedOn('an answer without length that is whole', 'closesUnframed');

for (const when of ['behind', 'late', 'withNext'] as const) {
  // Guards against a second answer that reaches the next request on the server's connection, or no request at all.
  guard(`a second answer (${when})`, extra('answer', when));

  // Guards against a success that is taken as that of the next request, since it names none.
  guard(`a second answer without id (${when})`, extra('answer', when, false));

  // Guards against a failure that is taken as that of the next request.
  guard(`a second answer that is 500 (${when})`, extra('error', when));

  // Guards against a failure that is taken as that of the next request, since it names none.
  guard(`a second answer that is 500 without id (${when})`, extra('error', when, false));

  // Guards against a promise that is taken as that of the next request, which runs nevertheless.
  guard(`a second answer that is 503 (${when})`, extra('refusal', when));

  // Guards against a promise that is taken as that of the next request, since it names none.
  guard(`a second answer that is 503 without id (${when})`, extra('refusal', when, false));

  // Guards against bytes beyond the declared length that reach a caller.
  guard(`bytes behind the answer (${when})`, extra('noise', when));
}

for (const behaviour of [
  'answers',
  'errors',
  'noContent',
  'notModified',
  'encodes',
  'endsInLength',
  'endsInChunk',
  extra('noise', 'behind'),
  extra('answer', 'behind'),
  extra('answer', 'withNext'),
] as const) {
  // Guards against a body, or a wait for one, where only the head is due.
  test(`HEAD: ${textOf(behaviour)}`, async () => {
    assert.deepEqual(await faultsWith(behaviour, 'reads', 'HEAD'), []);
  });
}
