// What the soak checks: each answer when it comes, and at the end what the servers saw against what callers were told.

import type { Milliseconds } from '@catkinwheel/state';
import type { Relay } from '../relay.js';
import { runFaults, type RequestKind, type Told } from './answerCheck.js';
import { names } from './fleet.js';
import type { PlacedAnswer } from './keptCaller.js';
import type { RouterProcess } from './routerProcess.js';
import { streamLength, type StackServer } from './server.js';

/** Time limit of the deployment's routes. */
export const timeout: Milliseconds = 3_000;
/** Time after a route's limit in which its request must have ended: half a second, and the machine's own delays. */
const endWithin: Milliseconds = 2_500;

/** A server of the soak, behind a relay that can cut it off. */
export interface Backend {
  readonly server: StackServer;
  /** Replaced when the server starts again at another address. */
  relay: Relay;
  /** Start time in its entry. */
  born: number;
  readonly service: string;
  /** Whether its entry says that it leaves. */
  isLeaving: boolean;
  /** When it must get no new request any more, and the routers that were undisturbed until then. */
  drained?: { readonly at: number; readonly nodes: ReadonlySet<Node> };
}

/** A router of the soak. */
export interface Node {
  readonly router: RouterProcess;
  readonly store: Relay;
  /** When the last fault that touches it ends or ended. */
  disturbedUntil: number;
}

export interface Request {
  readonly id: string;
  readonly kind: RequestKind;
  readonly node: Node;
  /** The run of the router's process, and the time, when the request was sent. */
  readonly run: number;
  readonly sent: number;
}

/** The violations of one soak. */
export class SoakChecks {
  readonly #violations = new Set<string>();
  /** The router that each request was sent to. */
  readonly #sentTo = new Map<string, Node>();
  readonly #outcomes: Told[] = [];
  #served = 0;

  private constructor(private readonly tell: (line: string) => void) {}

  static create(tell: (line: string) => void): SoakChecks {
    return new SoakChecks(tell);
  }

  get violations(): readonly string[] {
    return [...this.#violations];
  }

  get requests(): number {
    return this.#sentTo.size;
  }

  get served(): number {
    return this.#served;
  }

  violate(what: string): void {
    this.#violations.add(what);
    this.tell(`VIOLATION ${what}`);
  }

  /** Has to be called before the request is sent. */
  begin(id: string, kind: RequestKind, node: Node): Request {
    this.#sentTo.set(id, node);
    return { id, kind, node, run: node.router.run, sent: performance.now() };
  }

  /** Checks what a kept caller does not: the time, the status, and that a success is complete. */
  end({ id, kind, node, run, sent }: Request, { answer, place }: PlacedAnswer): void {
    const took = performance.now() - sent;
    const status = answer.kind === 'whole' ? answer.status : undefined;
    this.#outcomes.push({ id, kind, status, place });
    const isDisturbed = node.disturbedUntil > sent || run !== node.router.run;
    if (!isDisturbed && took > timeout + endWithin)
      this.violate(`${id} had no end at ${node.router.name} after ${Math.round(took)} ms`);
    if (answer.kind !== 'whole') return;
    if (status === 401 || status === 404)
      this.violate(`${id} got ${status} from ${node.router.name}, though it is allowed (${place})`);
    if (answer.status < 200 || answer.status >= 300) return;
    this.#served += 1;
    const { body } = answer;
    // That a 204 is the server's own and has no body is checked by the kept caller.
    const isComplete =
      status === 204 ||
      (kind === 'letters' ? eventsOf(body) === expectedEvents : body.endsWith(` ran ${id}`));
    if (!isComplete)
      this.violate(`${id} got half an answer that looks whole: ${body.slice(-shown)} (${place})`);
  }

  /** What the servers saw, against what callers were told. */
  checkRuns(backends: readonly Backend[]): void {
    for (const { server, drained } of backends)
      for (const { id, at, headers } of server.seen) {
        const node = this.#sentTo.get(id);
        const isBound = node !== undefined && drained?.nodes.has(node) === true;
        if (isBound && at > drained.at) this.violate(`${server.id} got ${id} while leaving`);
        if (headers.authorization !== undefined) this.violate(`${server.id} got the key of ${id}`);
        const expected = id.includes('charges') ? undefined : names.team;
        if (headers.tenant !== expected)
          this.violate(`${id} ran for team ${String(headers.tenant)}`);
      }
    const servers = backends.map(({ server }) => server);
    for (const fault of runFaults(this.#outcomes, servers)) this.violate(fault);
  }
}

/** Characters of a body that are shown, from its end. */
const shown = 200;
const expectedEvents = Array.from({ length: streamLength }, (_, index) => index + 1).join();

/** The ids of a stream's events, in their order. */
function eventsOf(body: string): string {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id).join();
}
