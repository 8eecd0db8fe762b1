// One router: runs its parts and takes them down in an order that cuts no request.

import { setMaxListeners } from 'node:events';
import type { EventLog } from '@catkinwheel/coordination';
import { Admin } from '@catkinwheel/transport';
import { assemble, hostAndPort, readTls, type Addresses, type Parts } from './assemble.js';
import { adminSourceOf } from './operators.js';
import type { Settings } from './settings.js';
import { reportUsage } from './usage.js';

/** Listeners of the tasks below on the signal that ends them, at most. */
const taskListeners = 64;

/** A running router. */
export class Daemon {
  readonly #settings: Settings;
  readonly #parts: Parts;
  readonly #signal = new AbortController();
  #tasks: Promise<unknown> = Promise.resolve();
  #admin: Admin | undefined;

  private constructor(settings: Settings, parts: Parts) {
    this.#settings = settings;
    this.#parts = parts;
  }

  /**
   * Opens the listeners and starts all tasks; `stop` is called when an operator asks for it. Rejects if an address is not free or a file is missing.
   */
  static async start(settings: Settings, eventLog: EventLog, stop: () => void): Promise<Daemon> {
    const daemon = new Daemon(settings, await assemble(settings, eventLog));
    daemon.#run();
    const admin = await Admin.listen({
      ...hostAndPort(settings.listen.admin),
      token: settings.operators.token,
      source: adminSourceOf(daemon.#parts, stop),
    });
    if (admin.isErr()) throw new Error(`listen.admin: ${admin.error}`);
    daemon.#admin = admin.value;
    return daemon;
  }

  get addresses(): Addresses {
    return { ...this.#parts.addresses, admin: this.#admin?.address ?? '' };
  }

  /** Requests of callers that are not finished. */
  get inFlight(): number {
    return this.#parts.front.inFlight;
  }

  /**
   * Stops without cutting a request: leaves the directory, waits as long as callers may cache it,
   * refuses new work, hands over the keepers and finishes every request.
   */
  async stop(): Promise<void> {
    const { availability, membership, keepers, front, eventLog, clock } = this.#parts;
    eventLog.record('stopping', { inFlight: front.inFlight });
    membership.setLeaving();
    // Without a successor the keepers have to serve the own requests to their end.
    const hasSuccessor = membership.alive().some(({ name }) => !membership.isLeaving(name));
    if (hasSuccessor) await keepers.resign();
    await clock.sleep(this.#settings.timing.directoryTtl);
    availability.close();
    await front.close();
    if (!hasSuccessor) await keepers.resign();
    await this.#end();
    eventLog.record('stopped', {});
  }

  /** Stops at once. Returns the number of requests that were cut. */
  async abort(): Promise<number> {
    const cut = this.#parts.front.inFlight;
    this.#parts.front.abort();
    await this.#end();
    this.#parts.eventLog.record('aborted', { cut });
    return cut;
  }

  /** Reads certificate and key again. Throws if a file is missing or they do not fit together. */
  reloadTls(): void {
    const tls = readTls(this.#settings);
    if (tls !== undefined) this.#parts.front.reload(tls);
  }

  async #end(): Promise<void> {
    await this.#parts.session.release();
    await this.#admin?.close();
    this.#signal.abort();
    await this.#tasks;
    await this.#parts.meter.close();
  }

  #run(): void {
    const { signal } = this.#signal;
    // Every task listens to it, which are more than the 10 that Node takes for a leak.
    setMaxListeners(taskListeners, signal);
    const { links, membership, session, keepers, ledger, store, permits, sweep, clock, meter } =
      this.#parts;
    this.#tasks = Promise.all([
      links.start(membership.self, this.#parts.handlers, signal),
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
