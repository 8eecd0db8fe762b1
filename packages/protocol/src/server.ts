// What servers publish about themselves.

import type { Milliseconds } from '@catkinwheel/state';

/** A server's own load report. Reports lag behind what the server does. */
export interface LoadReport {
  /** Changes with each start of the server process. */
  readonly boot: string;
  readonly running: number;
  readonly waiting: number;
  readonly leaving: boolean;
  readonly models: readonly string[];
  /** Age of the figures when the report was made. */
  readonly age: Milliseconds;
}

/** An order to a model engine. The fence is that of the keeper that gives it. */
export interface Order {
  readonly kind: 'load';
  readonly model: string;
  readonly fence: number;
}
