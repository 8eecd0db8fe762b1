// Passive health checks: learns the health of servers from the outcome of requests. Active health probes and
// registrations may be wrong or late; responses are not.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import { InstanceMap, type ServerInstance } from './serverInstance.js';

/** Outcome of one attempt at a server. */
export type ServerOutcome =
  /** A valid response. */
  | 'answered'
  /** A failure caused by the server, or a broken response. */
  | 'failed'
  /** The connection was lost before the response was complete. */
  | 'disconnected'
  /** No connection could be opened. */
  | 'unreachable'
  /** Connections are refused: its process has ended, and the next one registers as another instance. */
  | 'ended'
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
export const normalFailureRate = 0.3;
/** Weight of the latest outcome in the failure rate, which is an exponential moving average. */
const outcomeWeight = 0.12;
/**
 * Time without requests after a refusal or a failed connection, doubled with each further failed connection.
 */
const minPause: Milliseconds = 250;
const maxPause: Milliseconds = 2_000;

interface HealthRecord {
  /** Failure rate of recent requests, as an exponential moving average. */
  readonly failureRate: number;
  /** No request is sent before this time. */
  readonly pausedUntil: Milliseconds;
  /** Failed connections in a row. */
  readonly failedConnections: number;
}

const initialRecord: HealthRecord = { failureRate: 0, pausedUntil: 0, failedConnections: 0 };

/** Health of each server. */
export class ServerHealth {
  readonly #records = InstanceMap.create<HealthRecord>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): ServerHealth {
    return new ServerHealth(clock);
  }

  /** Records an outcome. Returns the change of the server's health, if any. */
  record(server: ServerInstance, outcome: ServerOutcome): HealthChange | undefined {
    const before = this.#records.get(server) ?? initialRecord;
    const after = this.#after(before, outcome);
    this.#records.set(server, after);
    if (before.failedConnections === 0 && after.failedConnections > 0) return 'lost';
    if (before.failedConnections > 0 && after.failedConnections === 0) return 'back';
    const isFaulty = after.failureRate > normalFailureRate;
    if (isFaulty === before.failureRate > normalFailureRate) return undefined;
    return isFaulty ? 'faulty' : 'sound';
  }

  #after(record: HealthRecord, outcome: ServerOutcome): HealthRecord {
    const now = this.clock.now();
    switch (outcome) {
      case 'answered':
        return { ...updateFailureRate(record, 0), pausedUntil: 0, failedConnections: 0 };
      case 'failed':
      case 'disconnected':
        return { ...updateFailureRate(record, 1), failedConnections: 0 };
      case 'refused':
        return { ...record, failedConnections: 0, pausedUntil: now + minPause };
      case 'unreachable': {
        const failedConnections = record.failedConnections + 1;
        const pause = Math.min(maxPause, minPause * 2 ** (failedConnections - 1));
        return { ...record, failedConnections, pausedUntil: now + pause };
      }
      case 'ended':
        return {
          ...record,
          failedConnections: Math.max(1, record.failedConnections),
          pausedUntil: now + maxPause,
        };
      case 'misdirected':
        // Its registration is out of date; the next one names another instance.
        return { ...record, pausedUntil: now + maxPause };
    }
  }

  /** Whether the server may be sent requests now. */
  isUsable(server: ServerInstance): boolean {
    return (this.#records.get(server) ?? initialRecord).pausedUntil <= this.clock.now();
  }

  /** Whether the last attempt to connect to the server failed. */
  isUnreachable(server: ServerInstance): boolean {
    return (this.#records.get(server) ?? initialRecord).failedConnections > 0;
  }

  failureRate(server: ServerInstance): number {
    return (this.#records.get(server) ?? initialRecord).failureRate;
  }

  forget(server: ServerInstance): void {
    this.#records.delete(server);
  }
}

function updateFailureRate(record: HealthRecord, failed: number): HealthRecord {
  return {
    ...record,
    failureRate: record.failureRate + outcomeWeight * (failed - record.failureRate),
  };
}
