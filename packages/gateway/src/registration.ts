// Registers this router in the store and reads the other routers' registrations. After that routers contact one another
// directly.

import type { Members } from '@catkinwheel/coordination/routing';
import type { StoreClient } from '@catkinwheel/platform';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { amount, decodeForeign, vmAddress } from '@catkinwheel/protocol';
import { Codec } from 'purify-ts';
import type { Log } from './log.js';

const table = 'routers';
const registrationCodec = Codec.interface({ ip: vmAddress, capacity: amount });
const callTimeout: Milliseconds = 1_000;
/** Mean pause between attempts while the store does not answer. */
const retryPause: Milliseconds = 500;

/** The registration of one router. */
export class Registration {
  /** Era of the store in which it was written last; undefined before the first time. */
  #era: number | undefined;
  #isRunning = false;

  private constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly store: StoreClient;
      readonly members: Members;
      readonly log: Log;
      readonly name: string;
      readonly ip: string;
      /** Speed of the VM, in cores. */
      readonly capacity: number;
    },
  ) {}

  static create(options: Registration['options']): Registration {
    return new Registration(options);
  }

  /**
   * Registers, then reads the other registrations, and retries until both succeeded. Of two routers that start at the same
   * time at least the later one reads the other's registration and contacts it.
   */
  async run(signal: AbortSignal): Promise<void> {
    this.#isRunning = true;
    try {
      await this.#run(signal);
    } finally {
      this.#isRunning = false;
    }
  }

  /** Registers again if the store, which is in `era` now, has come back from a copy since. */
  async renew(era: number, signal: AbortSignal): Promise<void> {
    if (this.#isRunning || this.#era === undefined || era <= this.#era) return;
    this.#era = undefined;
    this.#isRunning = true;
    // All routers learn of it at about the same time.
    await this.options.clock.sleep(retryPause * Math.random(), signal);
    await this.run(signal);
  }

  async #run(signal: AbortSignal): Promise<void> {
    const { clock, store, log, name, ip, capacity } = this.options;
    const value = JSON.stringify({ ip, capacity });
    while (!signal.aborted) {
      if (this.#era === undefined) {
        const written = await store.write(table, name, value, callTimeout);
        this.#era = written.unwrapOr(undefined);
      }
      if (this.#era !== undefined) {
        const snapshot = await store.table(table, callTimeout);
        if (snapshot.isOk()) {
          for (const { key, value } of snapshot.value.rows)
            if (value !== undefined) this.#register(key, value);
          this.options.members.recordComplete();
          log.write('registered', { routers: snapshot.value.rows.length });
          return;
        }
      }
      await clock.sleep(retryPause * (0.5 + Math.random()), signal);
    }
  }

  #register(name: string, value: string): void {
    const { members, log } = this.options;
    decodeForeign(registrationCodec, parse(value)).match(
      (router) => {
        members.register(name, router);
      },
      (detail) => {
        log.write('registration refused', { peer: name, detail });
      },
    );
  }

  /** Removes the registration; best effort, since routers without contact are removed after a time anyway. */
  async remove(): Promise<void> {
    const { store, log, name } = this.options;
    const removed = await store.remove(table, name, callTimeout);
    if (removed.isErr()) log.write('registration not removed', { failure: removed.error });
  }
}

/** Returns undefined, which the codec rejects, if the text is not JSON. */
function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
