// A permit is the unit of admission: the right to have one request in flight on one server.

import type { Milliseconds } from './clock.js';
import type { FencingToken, ServerName, ServiceName, TeamName } from './identity.js';

/** Unit of service: prompt tokens / 10 + generated tokens for a model, milliseconds for a plain service. */
export type Cost = number;

export interface Permit {
  /** Unique among all permits of the fleet. */
  readonly id: string;
  readonly server: ServerName;
  readonly fence: FencingToken;
  readonly service: ServiceName;
  readonly team: TeamName;
  /** Counts the grants of one keeper router to one entry router for this service and team, from 1. */
  readonly sequence: number;
}

/** What became of a permit. */
export type Outcome =
  /** The request ran to its end. */
  | 'used'
  /** Nothing was sent. */
  | 'unused'
  /** The caller or the router cancelled the request. */
  | 'cancelled'
  /** The server could not be connected to or refused the request. */
  | 'refused'
  /** The connection failed after the request was sent. */
  | 'broken';

/** The first byte of an answer, told at once because a slow one may be the sign of a cold server. */
export interface FirstByteReport {
  /** Id of the permit in use. */
  readonly id: string;
  readonly server: ServerName;
  /** Time from sending to the first byte of the answer. */
  readonly firstByte: Milliseconds;
}

/** A permit on its way back to its keeper. */
export interface Release {
  readonly id: string;
  readonly server: ServerName;
  readonly outcome: Outcome;
  /** Time from sending to the first byte of the answer; null if none arrived or it was told before. */
  readonly firstByte: Milliseconds | null;
  readonly cost: Cost;
}
