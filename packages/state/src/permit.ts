// A permit is the unit of admission control: the right to have one request in flight on one server.
// The keeper of the server grants it to an entry router, a router with queued requests of callers.

import type { Milliseconds } from './clock.js';
import type { FencingToken, ServerName, ServiceName, TeamName } from './identity.js';

/**
 * Cost of a request: prompt tokens / 10 + generated tokens for a model, milliseconds for a plain
 * service.
 */
export type Cost = number;

export interface Permit {
  /** Unique in the fleet. */
  readonly id: string;
  readonly server: ServerName;
  readonly fence: FencingToken;
  readonly service: ServiceName;
  readonly team: TeamName;
  /**
   * Sequence number, from 1, of the grants from one keeper router to one entry router for this
   * service and team.
   */
  readonly sequence: number;
}

/** How the use of a permit ended. */
export type Outcome =
  /** The request ran to its end. */
  | 'used'
  /** Nothing was sent to the server. */
  | 'unused'
  /** The caller or the router cancelled the request. */
  | 'cancelled'
  /** No connection to the server could be opened, or the server refused the request. */
  | 'refused'
  /** The connection failed after the request was sent. */
  | 'broken';

/**
 * Reports the first byte of a response before the request ends, because a slow first byte may
 * indicate a cold server.
 */
export interface FirstByteReport {
  /** Id of the permit in use. */
  readonly id: string;
  readonly server: ServerName;
  /** Time from sending to the first byte of the response. */
  readonly firstByte: Milliseconds;
}

/** Returns a permit to its keeper. */
export interface Release {
  readonly id: string;
  readonly server: ServerName;
  readonly outcome: Outcome;
  /**
   * Time from sending to the first byte of the response; null if there was none or it was reported
   * before.
   */
  readonly firstByte: Milliseconds | null;
  readonly cost: Cost;
}
