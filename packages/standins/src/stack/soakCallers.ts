// The callers of the soak. Each keeps one connection to every router that it has used, until the router closes it or its
// process is gone, so that what a router leaves on a connection reaches a later request and is seen.

import { setTimeout as pause } from 'node:timers/promises';
import type { Milliseconds } from '@catkinwheel/state';
import { oneOf, randomFrom, type Random } from '../random.js';
import type { RequestKind } from './answerCheck.js';
import { KeptCaller } from './keptCaller.js';
import type { StackServer } from './server.js';
import type { Node, SoakChecks } from './soakChecks.js';

/** Time for which callers keep the directory's answer. */
const addressLife: Milliseconds = 1_000;
/** Time between two requests of one caller. */
const callPause: Milliseconds = 25;
/** Several times the longest fault and a route's limit together: without an end until then a request has none. */
const answerWithin: Milliseconds = 20_000;
/** Kinds of requests. Only charges may run at most once. */
const kinds: readonly RequestKind[] = ['letters', 'reads', 'charges'];

/** Callers of all routers. */
export class SoakCallers {
  #requests = 0;

  private constructor(
    private readonly seed: number,
    private readonly nodes: readonly Node[],
    private readonly servers: () => readonly StackServer[],
    private readonly checks: SoakChecks,
  ) {}

  static create(
    seed: number,
    nodes: readonly Node[],
    servers: () => readonly StackServer[],
    checks: SoakChecks,
  ): SoakCallers {
    return new SoakCallers(seed, nodes, servers, checks);
  }

  /** Sends requests one after the other until the signal. */
  async run(index: number, ended: AbortSignal): Promise<void> {
    const random = randomFrom(this.seed * 1_000 + index);
    const callers = new Map(this.nodes.map((node) => [node, this.#callerOf(node)]));
    let node = oneOf(random, this.nodes);
    let chosen = -Infinity;
    while (!ended.aborted) {
      if (performance.now() - chosen > addressLife) {
        node = this.#running(random) ?? node;
        chosen = performance.now();
        for (const caller of callers.values()) caller.checkExcess();
      }
      const caller = callers.get(node) ?? this.#callerOf(node);
      this.#requests += 1;
      const kind = oneOf(random, kinds);
      await this.#ask(caller, node, kind, `${kind}-${this.#requests}`);
      await pause(callPause);
    }
    for (const caller of callers.values()) end(caller);
  }

  /** Sends requests to one router without pause until the signal. Resolves with the ids that ran and got no 200. */
  async runAt(node: Node, name: string, ended: AbortSignal): Promise<readonly string[]> {
    const random = randomFrom(this.seed);
    const caller = this.#callerOf(node);
    const lost: string[] = [];
    for (let sent = 0; !ended.aborted; sent += 1) {
      const kind = oneOf(random, kinds);
      const id = `calm-${kind}-${node.router.name}-${name}-${sent}`;
      const status = await this.#ask(caller, node, kind, id);
      // A closed connection is a loss only if a server had got the request.
      const hasRun = this.servers().some(({ ran }) => ran.includes(id));
      if (hasRun && status !== 200) lost.push(id);
    }
    end(caller);
    return lost;
  }

  async #ask(
    caller: KeptCaller,
    node: Node,
    kind: RequestKind,
    id: string,
  ): Promise<number | undefined> {
    const request = this.checks.begin(id, kind, node);
    const asked = await caller.ask(id, kind, { within: answerWithin });
    this.checks.end(request, asked);
    return asked.answer.kind === 'whole' ? asked.answer.status : undefined;
  }

  #callerOf({ router }: Node): KeptCaller {
    return KeptCaller.create(router.callers, this.servers, (fault) => {
      this.checks.violate(fault);
    });
  }

  /** A router that runs, as a caller finds it by the directory. */
  #running(random: Random): Node | undefined {
    const running = this.nodes.filter(({ router }) => router.isRunning);
    return running.length === 0 ? undefined : oneOf(random, running);
  }
}

function end(caller: KeptCaller): void {
  caller.checkExcess();
  caller.close();
}
