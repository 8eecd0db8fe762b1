// Contains exceptions inside the router. Without it, whatever one request, datagram or table row makes a task throw ends the task
// or, from a timer or a socket, the process, with the requests of all callers.

import type { Fields, Log } from './log.js';
import type { Metrics } from './metrics.js';

/** What the router was doing when an exception was thrown. */
export type FaultActivity =
  | 'request'
  | 'intake'
  | 'queue'
  | 'tick'
  | 'datagram'
  | 'table'
  | 'store'
  | 'registration'
  | 'peerState'
  | 'cachedParts'
  | 'probe'
  | 'load';

/** Logs and counts exceptions inside the router. */
export class Faults {
  private constructor(
    private readonly log: Log,
    private readonly metrics: Metrics,
  ) {}

  static create(log: Log, metrics: Metrics): Faults {
    return new Faults(log, metrics);
  }

  /** Logs and counts an exception. `fields` say more about the activity. */
  record(activity: FaultActivity, error: unknown, fields: Fields = {}): void {
    this.metrics.faults.inc({ activity });
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    const event =
      activity === 'request' ? 'request failed inside the router' : 'exception inside the router';
    this.log.write(event, { activity, ...fields, detail });
  }

  /** Runs `work`; records an exception instead of passing it on. */
  contain(activity: FaultActivity, work: () => void): void {
    try {
      work();
    } catch (error) {
      this.record(activity, error);
    }
  }

  /** Records the rejection of a task that nothing else waits for. */
  watch(activity: FaultActivity, task: Promise<unknown>): void {
    task.catch((error: unknown) => {
      this.record(activity, error);
    });
  }
}
