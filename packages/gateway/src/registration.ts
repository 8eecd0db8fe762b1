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
    const { clock, store, log, name, ip, capacity } = this.options;
    const value = JSON.stringify({ ip, capacity });
    let isWritten = false;
    while (!signal.aborted) {
      if (!isWritten) isWritten = (await store.write(table, name, value, callTimeout)).isOk();
      if (isWritten) {
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
