// Background task of one keeper: polls the load report of its server, passes it to the keeper, and sends
// the messages and orders that follow from it.

import type { Message } from '@catkinwheel/protocol';
import type { Clock, Milliseconds, RouterName } from '@catkinwheel/state';
import type { Keeper } from './keeper.js';
import type { CatalogueView, EventLog, Metrics, Outbox, ServerControl } from './ports.js';
import type { Serviceability } from './serviceability.js';
import { sessionTtl } from './session.js';
import { withTimeout } from './withTimeout.js';

/** Time between load polls. */
const loadPollInterval: Milliseconds = 250;
/** Timeout of a load request; four of them fit into the suspect time of the keeper. */
const loadTimeout: Milliseconds = 500;
/** Minimum time between two orders to load the model, because the weight store is rate-limited. */
const minOrderInterval: Milliseconds = 5_000;
/** Maximum time for which an order of an earlier keeper may be in transit. */
const maxOrderTransit: Milliseconds = 5_000;
/** Minimum time between two queries for permits that may be lost. */
const minQueryInterval: Milliseconds = 2_000;
/**
 * Delay of a second query to all routers after a takeover: until the next heartbeats, sent every 500 ms,
 * they may return permits to the previous keeper.
 */
const secondQueryDelay: Milliseconds = 750;

export interface ServerTaskDependencies {
  readonly keeper: Keeper;
  readonly clock: Clock;
  readonly catalogue: CatalogueView;
  readonly control: ServerControl;
  readonly serviceability: Serviceability;
  readonly outbox: Outbox;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
  /** Whether orders may be sent: this router holds its lease and the keeper row. */
  readonly mayOrder: () => boolean;
  /** Whether another router has replied to this one since this one started. */
  readonly hasPeerReplied: () => boolean;
  /** Routers to send `takeover` to. */
  readonly routers: () => readonly RouterName[];
  /** Routers whose reply to `takeover` is awaited, alive or not. */
  readonly expectedResponders: () => readonly RouterName[];
  /** Called when permits may have become available. */
  readonly onPermitsFreed: () => void;
}

/** Runs one keeper. */
export class ServerTask {
  readonly #dependencies: ServerTaskDependencies;
  readonly #abort = new AbortController();
  readonly #startedAt: Milliseconds;
  #lastOrderAt = Number.NEGATIVE_INFINITY;
  #lastQueryAt = Number.NEGATIVE_INFINITY;
  #takeoverSentAt = Number.POSITIVE_INFINITY;
  #loggedPhase = '';

  private constructor(dependencies: ServerTaskDependencies) {
    this.#dependencies = dependencies;
    this.#startedAt = dependencies.clock.now();
  }

  static create(dependencies: ServerTaskDependencies): ServerTask {
    return new ServerTask(dependencies);
  }

  get keeper(): Keeper {
    return this.#dependencies.keeper;
  }

  /** Counts the requests in flight, then polls the load until `stop`. */
  async run(): Promise<void> {
    const { clock, onPermitsFreed } = this.#dependencies;
    const { signal } = this.#abort;
    this.sendTakeover();
    while (!this.#isStopped()) {
      if (this.keeper.refreshAuthority()) this.sendTakeover();
      await this.#poll();
      if (this.#isStopped()) return;
      this.revokeExcess();
      this.#queryLostPermits();
      this.#logPhase();
      onPermitsFreed();
      await this.#orderModel();
      await clock.sleep(loadPollInterval, signal);
    }
  }

  /** Ends the task and stops the keeper from granting. */
  stop(): void {
    this.keeper.freeze();
    this.#abort.abort();
  }

  /** Asks all routers for the permits that they hold for the server. */
  sendTakeover(): void {
    const { clock, outbox, routers, expectedResponders } = this.#dependencies;
    this.keeper.startCount(expectedResponders());
    this.#takeoverSentAt = clock.now();
    for (const router of routers()) outbox.send(router, this.#takeover());
  }

  /** Revokes the permits above the limit of a server that turned cold. */
  revokeExcess(): void {
    const { server } = this.keeper;
    const byRouter = new Map<RouterName, string[]>();
    for (const { to, permit } of this.keeper.excessPermits()) {
      byRouter.set(to, [...(byRouter.get(to) ?? []), permit.id]);
    }
    for (const [router, permits] of byRouter) {
      this.#dependencies.outbox.send(router, { kind: 'revoke', server, permits });
      this.#dependencies.metrics.count('keeper.revoke');
    }
  }

  #isStopped(): boolean {
    return this.#abort.signal.aborted;
  }

  #takeover(): Message {
    return { kind: 'takeover', server: this.keeper.server, fence: this.keeper.fence };
  }

  async #poll(): Promise<void> {
    const { clock, catalogue, control, serviceability, metrics } = this.#dependencies;
    const current = catalogue.current();
    const server = current.servers[this.keeper.server];
    const service = current.services[this.keeper.service];
    if (server === undefined || service === undefined) return;
    const sent = clock.now();
    const result = await withTimeout(clock, loadTimeout, control.load(server.address), 'no answer');
    if (result.isOk()) this.keeper.applyLoadReport(result.value, sent);
    else metrics.count('keeper.loadMissing');
    this.keeper.tick(service, serviceability.isOutOfService(current, server));
  }

  /**
   * Asks routers for their permits again if load reports show fewer requests than permits, because a
   * grant or a release was lost, and if no router has replied yet since this one started.
   */
  #queryLostPermits(): void {
    const { clock, outbox, routers: all, hasPeerReplied } = this.#dependencies;
    const now = clock.now();
    const isSecondDue = now - this.#takeoverSentAt >= secondQueryDelay;
    if (!isSecondDue && now - this.#lastQueryAt < minQueryInterval) return;
    const routers = isSecondDue || !hasPeerReplied() ? all() : this.keeper.routersToQuery();
    if (isSecondDue) this.#takeoverSentAt = Number.POSITIVE_INFINITY;
    if (routers.length === 0) return;
    this.#lastQueryAt = now;
    this.keeper.markQueried(routers);
    for (const router of routers) outbox.send(router, this.#takeover());
  }

  async #orderModel(): Promise<void> {
    const { clock, catalogue, control, metrics, eventLog, mayOrder } = this.#dependencies;
    const server = catalogue.current().servers[this.keeper.server];
    const service = catalogue.current().services[this.keeper.service];
    if (service?.kind !== 'model' || server === undefined || !this.keeper.lacksModel()) return;
    // A server that does not check fences could execute an order of the old keeper after a newer one.
    const wait = server.checksFence ? 0 : sessionTtl + maxOrderTransit;
    const now = clock.now();
    if (now - this.#startedAt < wait || now - this.#lastOrderAt < minOrderInterval || !mayOrder())
      return;
    this.#lastOrderAt = now;
    const order = { kind: 'load', model: service.model, fence: this.keeper.fence } as const;
    const result = await withTimeout(
      clock,
      loadTimeout,
      control.order(server.address, order),
      'none',
    );
    metrics.count('keeper.order', { result: result.isOk() ? 'ok' : 'failed' });
    eventLog.record('keeper.ordered', { server: this.keeper.server, model: service.model });
  }

  #logPhase(): void {
    const { phase, limit } = this.keeper.state();
    if (phase === this.#loggedPhase) return;
    this.#loggedPhase = phase;
    this.#dependencies.eventLog.record('server.phase', {
      server: this.keeper.server,
      phase,
      limit,
    });
  }
}
