// Passive health checks: learns the health of servers from the outcome of requests. Active health probes and
// registrations may be wrong or late; responses are not.

import type { Clock, Milliseconds } from '@catkinwheel/state';

/** Outcome of one attempt at a server. */
export type ServerOutcome =
  /** A valid response. */
  | 'answered'
  /** A failure caused by the server, or a broken response. */
  | 'failed'
  /** No connection could be opened. */
  | 'unreachable'
  /** The server refused the request without running it. */
  | 'refused'
  /** Another server has the address. */
  | 'misdirected';

/** A change of a server's health. */
export type HealthChange =
  /** It has become unreachable. */
  | 'lost'
  /** It is reachable again. */
  | 'back'
  /** Its failure rate has risen above the usual one. */
  | 'faulty'
  /** Its failure rate has returned to the usual one. */
  | 'sound';

/** Failure rate at which plain services operate normally; only a higher one counts against a server. */
export const usualFailures = 0.3;
/** Weight of the latest outcome in the failure rate, which is an exponential moving average. */
const newest = 0.12;
/** Time without requests after a failed connection, doubled with each further one. */
const firstPause: Milliseconds = 250;
const longestPause: Milliseconds = 2_000;

interface Record {
  /** Failure rate of recent requests, as an exponential moving average. */
  readonly failureRate: number;
  /** No request is sent before this time. */
  readonly pausedUntil: Milliseconds;
  /** Failed connections in a row. */
  readonly misses: number;
}

const unknown: Record = { failureRate: 0, pausedUntil: 0, misses: 0 };

/** Health of each server. */
export class ServerHealth {
  readonly #records = new Map<string, Record>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ServerHealth {
    return new ServerHealth(clock);
  }

  /** Records an outcome. Returns the change of the server's health, if any. */
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

  /** Whether the last attempt to connect to the server failed. */
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
