// Metrics, sent to StatsD for dashboards and kept in memory for the admin API.

import type { Milliseconds } from '@catkinwheel/state';
import { StatsD } from 'hot-shots';

/** Counters since the start and the last value of each gauge; the keys are names with tags. */
export interface MeterSnapshot {
  readonly counters: Readonly<Record<string, number>>;
  readonly gauges: Readonly<Record<string, number>>;
}

type Tags = Readonly<Record<string, string>>;

/** Counters, gauges and timings of one process. */
export class Meter {
  readonly #counters = new Map<string, number>();
  readonly #gauges = new Map<string, number>();
  readonly #client: StatsD | undefined;

  private constructor(client: StatsD | undefined) {
    this.#client = client;
  }

  /**
   * Sends to `address` (`host:port`, UDP) if it is given. Errors are ignored, so metrics may be
   * lost.
   */
  static create(address?: string, prefix = 'catkinwheel.'): Meter {
    if (address === undefined) return new Meter(undefined);
    const separator = address.lastIndexOf(':');
    return new Meter(
      new StatsD({
        host: address.slice(0, separator),
        port: Number(address.slice(separator + 1)),
        prefix,
        errorHandler: () => undefined,
      }),
    );
  }

  count(name: string, tags: Tags = {}, amount = 1): void {
    const key = keyOf(name, tags);
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + amount);
    this.#client?.increment(name, amount, { ...tags });
  }

  gauge(name: string, value: number, tags: Tags = {}): void {
    this.#gauges.set(keyOf(name, tags), value);
    this.#client?.gauge(name, value, { ...tags });
  }

  timing(name: string, value: Milliseconds, tags: Tags = {}): void {
    this.#client?.timing(name, value, { ...tags });
  }

  snapshot(): MeterSnapshot {
    return {
      counters: Object.fromEntries(this.#counters),
      gauges: Object.fromEntries(this.#gauges),
    };
  }

  /** Flushes and closes the socket. */
  close(): Promise<void> {
    return new Promise((resolve) => {
      if (this.#client === undefined) {
        resolve();
        return;
      }
      this.#client.close(() => {
        resolve();
      });
    });
  }
}

function keyOf(name: string, tags: Tags): string {
  let key = name;
  for (const tag in tags) key += `,${tag}=${tags[tag] ?? ''}`;
  return key;
}
