// One router: starts its components and stops them in an order that aborts no request.

import { setMaxListeners } from 'node:events';
import type { EventLog } from '@catkinwheel/coordination';
import { Admin } from '@catkinwheel/transport';
import {
  createComponents,
  hostAndPort,
  readTls,
  type Addresses,
  type Components,
} from './components.js';
import { adminSourceOf } from './adminSource.js';
import type { Settings } from './settings.js';
import { reportUsage } from './processUsage.js';

/** Maximum number of listeners that the tasks add to the signal that stops them. */
const maxSignalListeners = 64;

/** A running router. */
export class Daemon {
  readonly #settings: Settings;
  readonly #components: Components;
  readonly #stopController = new AbortController();
  #tasks: Promise<unknown> = Promise.resolve();
  #admin: Admin | undefined;

  private constructor(settings: Settings, components: Components) {
    this.#settings = settings;
    this.#components = components;
  }

  /**
   * Opens the listeners and starts all tasks; `stop` is called when an operator requests a shutdown.
   * Rejects if an address is in use or a TLS file cannot be read.
   */
  static async start(settings: Settings, eventLog: EventLog, stop: () => void): Promise<Daemon> {
    const daemon = new Daemon(settings, await createComponents(settings, eventLog));
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

  /** Number of callers' requests in flight. */
  get inFlight(): number {
    return this.#components.front.inFlight;
  }

  /**
   * Stops without aborting a request: leaves the directory of routers, waits for its TTL, during which
   * callers may still use a cached copy, refuses new requests and finishes those in flight. The
   * keepers resign before that if another router can take over.
   */
  async stop(): Promise<void> {
    const { availability, membership, keepers, front, eventLog, clock } = this.#components;
    eventLog.record('stopping', { inFlight: front.inFlight });
    membership.setLeaving();
    // Without a successor, the keepers on this router must grant permits until its last request ends.
    const hasSuccessor = membership.alive().some(({ name }) => !membership.isLeaving(name));
    if (hasSuccessor) await keepers.resign();
    await clock.sleep(this.#settings.timing.directoryTtl);
    availability.close();
    await front.close();
    if (!hasSuccessor) await keepers.resign();
    await this.#shutDown();
    eventLog.record('stopped', {});
  }

  /** Stops at once. Returns the number of requests that were aborted. */
  async abort(): Promise<number> {
    const cut = this.#components.front.inFlight;
    this.#components.front.abort();
    await this.#shutDown();
    this.#components.eventLog.record('aborted', { cut });
    return cut;
  }

  /** Reads certificate and key again. Throws if a file cannot be read or the key does not match. */
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
    // Every task adds listeners; Node warns of a leak at more than 10.
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
