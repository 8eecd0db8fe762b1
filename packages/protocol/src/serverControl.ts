// Load reports of servers, and orders of keepers to them.

import type { Milliseconds } from '@catkinwheel/state';

/** A server's report of its load. It lags behind the actual load. */
export interface LoadReport {
  /** Changes with each start of the server process. */
  readonly boot: string;
  /** Requests that the server executes. */
  readonly running: number;
  /** Requests in the server's own queue. */
  readonly waiting: number;
  /** Whether the server is shutting down. */
  readonly leaving: boolean;
  /** Models that are loaded. */
  readonly models: readonly string[];
  /** Age of the figures when the report was made. */
  readonly age: Milliseconds;
}

/**
 * An order to a model engine to load a model. `fence` is the fencing token of the keeper that sends
 * it.
 */
export interface Order {
  readonly kind: 'load';
  readonly model: string;
  readonly fence: number;
}
