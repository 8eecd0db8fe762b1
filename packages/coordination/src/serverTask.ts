// One task per kept server: it polls the load report, passes it to the keeper and acts on what the
// keeper finds.

import type { Message } from '@catkinwheel/protocol';
import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import type { Keeper } from './keeper.js';
import type { CatalogueView, EventLog, Metrics, Outbox, ServerControl } from './ports.js';
import type { Serviceability } from './serviceability.js';
import { sessionTtl } from './session.js';
import { withTimeout } from './withTimeout.js';

/** Time between load polls. */
const loadPeriod: Milliseconds = 250;
/** A load request without an answer for this long has failed; four fit into the suspect time. */
const loadTimeout: Milliseconds = 500;
/** Time between two orders for the same model; the weight store is rate-limited. */
const orderPeriod: Milliseconds = 5_000;
/** Longest time an order of an earlier keeper may be on its way. */
const orderDelay: Milliseconds = 5_000;
/** Time between two questions for permits that may have got lost. */
const doubtPeriod: Milliseconds = 2_000;
/**
 * After a change of keeper everybody is asked again once: until the next heartbeats, every 500 ms,
 * routers return permits to the keeper before.
 */
const secondQuestion: Milliseconds = 750;

export interface ServerTaskParts {
  readonly keeper: Keeper;
  readonly clock: Clock;
  readonly catalogue: CatalogueView;
  readonly control: ServerControl;
  readonly serviceability: Serviceability;
  readonly outbox: Outbox;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  /** Whether orders may be given: the lease is held and the row is the own one. */
  readonly mayOrder: () => boolean;
  /** Whether another router has answered this one since it started. */
  readonly isAcknowledged: () => boolean;
  /** Routers that `takeover` goes to. */
  readonly routers: () => readonly RouterName[];
  /** Routers whose answer to `takeover` is waited for, in contact or not. */
  readonly awaited: () => readonly RouterName[];
  /** Called when permits may have become free. */
  readonly changed: () => void;
}

/** Work around one keeper. */
export class ServerTask {
  readonly #parts: ServerTaskParts;
  readonly #stop = new AbortController();
  readonly #started: Milliseconds;
  #orderedAt = Number.NEGATIVE_INFINITY;
  #doubtedAt = Number.NEGATIVE_INFINITY;
  #askedAt = Number.POSITIVE_INFINITY;
  #phase = '';

  private constructor(parts: ServerTaskParts) {
    this.#parts = parts;
    this.#started = parts.clock.now();
  }

  static create(parts: ServerTaskParts): ServerTask {
    return new ServerTask(parts);
  }

  get keeper(): Keeper {
    return this.#parts.keeper;
  }

  /** Counts what is in flight, then polls until `stop`. */
  async run(): Promise<void> {
    const { clock, changed } = this.#parts;
    const { signal } = this.#stop;
    this.ask();
    while (!this.#isStopped()) {
      if (this.keeper.refresh()) this.ask();
      await this.#poll();
      if (this.#isStopped()) return;
      this.revoke();
      this.#doubt();
      this.#note();
      changed();
      await this.#order();
      await clock.sleep(loadPeriod, signal);
    }
  }

  /** Ends the task; the keeper grants nothing any more. */
  stop(): void {
    this.keeper.freeze();
    this.#stop.abort();
  }

  /** Asks all routers what they have in flight on the server. */
  ask(): void {
    const { clock, outbox, routers, awaited } = this.#parts;
    this.keeper.ask(awaited());
    this.#askedAt = clock.now();
    for (const router of routers()) outbox.send(router, this.#takeover());
  }

  /** Revokes what a server that turned cold cannot bear. */
  revoke(): void {
    const { server } = this.keeper;
    const byRouter = new Map<RouterName, string[]>();
    for (const { to, permit } of this.keeper.excess()) {
      byRouter.set(to, [...(byRouter.get(to) ?? []), permit.id]);
    }
    for (const [router, permits] of byRouter) {
      this.#parts.outbox.send(router, { kind: 'revoke', server, permits });
      this.#parts.metrics.count('keeper.revoke');
    }
  }

  #isStopped(): boolean {
    return this.#stop.signal.aborted;
  }

  #takeover(): Message {
    return { kind: 'takeover', server: this.keeper.server, fence: this.keeper.fence };
  }

  async #poll(): Promise<void> {
    const { clock, catalogue, control, serviceability, metrics } = this.#parts;
    const current = catalogue.current();
    const server = current.servers[this.keeper.server];
    const service = current.services[this.keeper.service];
    if (server === undefined || service === undefined) return;
    const sent = clock.now();
    const result = await withTimeout(clock, loadTimeout, control.load(server.address), 'no answer');
    if (result.isOk()) this.keeper.reported(result.value, sent);
    else metrics.count('keeper.loadMissing');
    this.keeper.tick(service, serviceability.isOut(current, server));
  }

  /**
   * Asks again when load reports show fewer requests than permits, because a grant or a release got
   * lost, and when all answers to a router that just started did.
   */
  #doubt(): void {
    const { clock, outbox, routers: all, isAcknowledged } = this.#parts;
    const now = clock.now();
    const isSecond = now - this.#askedAt >= secondQuestion;
    if (!isSecond && now - this.#doubtedAt < doubtPeriod) return;
    const routers = isSecond || !isAcknowledged() ? all() : this.keeper.doubtful();
    if (isSecond) this.#askedAt = Number.POSITIVE_INFINITY;
    if (routers.length === 0) return;
    this.#doubtedAt = now;
    this.keeper.remind(routers);
    for (const router of routers) outbox.send(router, this.#takeover());
  }

  async #order(): Promise<void> {
    const { clock, catalogue, control, metrics, eventLog: journal, mayOrder } = this.#parts;
    const server = catalogue.current().servers[this.keeper.server];
    const service = catalogue.current().services[this.keeper.service];
    if (service?.kind !== 'model' || server === undefined || !this.keeper.lacksModel()) return;
    // A server that ignores fences could run an order of the old keeper after a newer one.
    const wait = server.checksFence ? 0 : sessionTtl + orderDelay;
    const now = clock.now();
    if (now - this.#started < wait || now - this.#orderedAt < orderPeriod || !mayOrder()) return;
    this.#orderedAt = now;
    const order = { kind: 'load', model: service.model, fence: this.keeper.fence } as const;
    const result = await withTimeout(
      clock,
      loadTimeout,
      control.order(server.address, order),
      'none',
    );
    metrics.count('keeper.order', { result: result.isOk() ? 'ok' : 'failed' });
    journal.record('keeper.ordered', { server: this.keeper.server, model: service.model });
  }

  #note(): void {
    const { phase, limit } = this.keeper.state();
    if (phase === this.#phase) return;
    this.#phase = phase;
    this.#parts.eventLog.record('server.phase', { server: this.keeper.server, phase, limit });
  }
}
