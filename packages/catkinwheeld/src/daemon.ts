// One router: runs its parts and takes them down in an order that cuts no request.

import { setMaxListeners } from 'node:events';
import type { EventLog } from '@catkinwheel/coordination';
import { Admin } from '@catkinwheel/transport';
import { assemble, hostAndPort, readTls, type Addresses, type Components } from './assemble.js';
import { adminSourceOf } from './operators.js';
import type { Settings } from './settings.js';
import { reportUsage } from './usage.js';

/** Listeners of the tasks below on the signal that ends them, at most. */
const maxSignalListeners = 64;

/** A running router. */
export class Daemon {
  readonly #settings: Settings;
  readonly #components: Components;
  readonly #stopController = new AbortController();
  #tasks: Promise<unknown> = Promise.resolve();
  #admin: Admin | undefined;

  private constructor(settings: Settings, parts: Components) {
    this.#settings = settings;
    this.#components = parts;
  }

  /**
   * Opens the listeners and starts all tasks; `stop` is called when an operator asks for it. Rejects if an address is not free or a file is missing.
   */
  static async start(settings: Settings, eventLog: EventLog, stop: () => void): Promise<Daemon> {
    const daemon = new Daemon(settings, await assemble(settings, eventLog));
    daemon.#startTasks();
    const admin = await Admin.listen({
      ...hostAndPort(settings.listen.admin),
      token: settings.operators.token,
      source: adminSourceOf(daemon.#components, stop),
    });
    if (admin.isErr()) throw new Error(`listen.admin: ${admin.error}`);
    daemon.#admin = admin.value;
    return daemon;
  }

  get addresses(): Addresses {
    return { ...this.#components.addresses, admin: this.#admin?.address ?? '' };
  }

  /** Requests of callers that are not finished. */
  get inFlight(): number {
    return this.#components.front.inFlight;
  }

  /**
   * Stops without cutting a request: leaves the directory, waits as long as callers may cache it,
   * refuses new work, hands over the keepers and finishes every request.
   */
  async stop(): Promise<void> {
    const { availability, membership, keepers, front, eventLog, clock } = this.#components;
    eventLog.record('stopping', { inFlight: front.inFlight });
    membership.setLeaving();
    // Without a successor the keepers have to serve the own requests to their end.
    const hasSuccessor = membership.alive().some(({ name }) => !membership.isLeaving(name));
    if (hasSuccessor) await keepers.resign();
    await clock.sleep(this.#settings.timing.directoryTtl);
    availability.close();
    await front.close();
    if (!hasSuccessor) await keepers.resign();
    await this.#shutDown();
    eventLog.record('stopped', {});
  }

  /** Stops at once. Returns the number of requests that were cut. */
  async abort(): Promise<number> {
    const abortedRequests = this.#components.front.inFlight;
    this.#components.front.abort();
    await this.#shutDown();
    this.#components.eventLog.record('aborted', { cut: abortedRequests });
    return abortedRequests;
  }

  /** Reads certificate and key again. Throws if a file is missing or they do not fit together. */
  reloadTls(): void {
    const tls = readTls(this.#settings);
    if (tls !== undefined) this.#components.front.reload(tls);
  }

  async #shutDown(): Promise<void> {
    await this.#components.session.release();
    await this.#admin?.close();
    this.#stopController.abort();
    await this.#tasks;
    await this.#components.meter.close();
  }

  #startTasks(): void {
    const { signal } = this.#stopController;
    // Every task listens to it, which are more than the 10 that Node takes for a leak.
    setMaxListeners(maxSignalListeners, signal);
    const { links, membership, session, keepers, ledger, store, permits, sweep, clock, meter } =
      this.#components;
    this.#tasks = Promise.all([
      links.start(membership.self, this.#components.handlers, signal),
      membership.run(signal),
      session.run(signal),
      keepers.run(signal),
      ledger.run(signal),
      store.run(signal),
      permits.run(signal),
      sweep.run(signal),
      reportUsage(clock, meter, signal),
    ]);
  }
}
