// What this router has learned about servers from their answers. Health probes and registrations may
// be wrong or late; answers are not.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** How one request ended at a server. */
export type ServerOutcome =
  /** A proper answer. */
  | 'answered'
  /** A failure of the server's own, or a broken answer. */
  | 'failed'
  /** No connection could be opened. */
  | 'unreachable'
  /** The server refused without running the request. */
  | 'refused'
  /** Another server has the address. */
  | 'misdirected';

/** What a result changes in the belief about a server. */
export type HealthChange =
  /** It cannot be reached any more. */
  | 'lost'
  /** It can be reached again. */
  | 'back'
  /** It fails more requests than servers do by nature. */
  | 'faulty'
  /** It fails no more than usual again. */
  | 'sound';

/** Share of failures that plain services have by nature; only more than that speaks against a server. */
export const usualFailures = 0.3;
/** Weight of the newest result in the failure rate. */
const newest = 0.12;
/** A server that could not be reached is tried again after this time, doubled with each failure. */
const firstPause: Milliseconds = 250;
const longestPause: Milliseconds = 2_000;

interface Record {
  /** Share of recent requests that failed, newer ones weighing more. */
  readonly failureRate: number;
  /** No request is sent before this time. */
  readonly pausedUntil: Milliseconds;
  /** Unreachable results in a row. */
  readonly misses: number;
}

const unknown: Record = { failureRate: 0, pausedUntil: 0, misses: 0 };

/** Standing of each server. */
export class ServerHealth {
  readonly #records = new Map<string, Record>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ServerHealth {
    return new ServerHealth(clock);
  }

  /** Learns from a result. Returns what it changes in the belief about the server, if anything. */
  record(server: string, result: ServerOutcome): HealthChange | undefined {
    const before = this.#records.get(server) ?? unknown;
    const after = this.#after(before, result);
    this.#records.set(server, after);
    if (before.misses === 0 && after.misses > 0) return 'lost';
    if (before.misses > 0 && after.misses === 0) return 'back';
    const isFaulty = after.failureRate > usualFailures;
    if (isFaulty === before.failureRate > usualFailures) return undefined;
    return isFaulty ? 'faulty' : 'sound';
  }

  #after(record: Record, result: ServerOutcome): Record {
    const now = this.clock.now();
    switch (result) {
      case 'answered':
        return { ...smooth(record, 0), pausedUntil: 0, misses: 0 };
      case 'failed':
        return { ...smooth(record, 1), misses: 0 };
      case 'refused':
        return { ...record, misses: 0, pausedUntil: now + firstPause };
      case 'unreachable': {
        const misses = record.misses + 1;
        const pause = Math.min(longestPause, firstPause * 2 ** (misses - 1));
        return { ...record, misses, pausedUntil: now + pause };
      }
      case 'misdirected':
        // Its registration is out of date; the next one has another id.
        return { ...record, pausedUntil: now + longestPause };
    }
  }

  /** Whether the server may be sent requests now. */
  isUsable(server: string): boolean {
    return (this.#records.get(server) ?? unknown).pausedUntil <= this.clock.now();
  }

  /** Whether the last connection to the server failed. */
  isMissed(server: string): boolean {
    return (this.#records.get(server) ?? unknown).misses > 0;
  }

  failureRate(server: string): number {
    return (this.#records.get(server) ?? unknown).failureRate;
  }

  forget(server: string): void {
    this.#records.delete(server);
  }
}

function smooth(record: Record, failed: number): Record {
  return { ...record, failureRate: record.failureRate + newest * (failed - record.failureRate) };
}
