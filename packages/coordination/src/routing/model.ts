// The data that routing decisions are based on: the operators' desired state, and the registered servers.

import type { Milliseconds } from '@catkinwheel/state';
import type { ServerInstance } from './serverInstance.js';

/**
 * What may be retried. `idempotent` requests may run more than once, `nonIdempotent` ones at most once. `streaming`
 * responses are event streams, which may be continued at another server only if the route allows it.
 */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'streaming';

/** A service of a route, with its share of the requests. */
export interface Share {
  readonly service: string;
  /** Relative to the weights of the other shares of the route. */
  readonly weight: number;
}

/** A route: the requests to one host whose paths start with a prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  /** Max time from arrival to the end of the response. */
  readonly timeout: Milliseconds;
  /** Latency target: time to the first event of a stream, or to the response. */
  readonly aim: Milliseconds;
  /** Time after which callers give up waiting for the first event of a stream; at most `timeout`. */
  readonly patience: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly shares: readonly Share[];
  /** Max servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** Whether requests need no API key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be continued at another server. */
  readonly canResume: boolean;
  /** Regions whose servers may run the requests; empty means any. */
  readonly regions: readonly string[];
}

/** An inference engine with continuous batching. */
export interface Engine {
  /** Max requests in a batch. */
  readonly slots: number;
  /** In tokens, for running requests and cached prompt parts together. */
  readonly memory: number;
}

/** A group of servers that run the same kind of requests. */
export interface Service {
  readonly name: string;
  /** How long a server stays cold after a start under load. */
  readonly warmup: Milliseconds;
  /** Requests a second that a cold server tolerates. */
  readonly coldRate: number;
  /** Undefined for a plain service, which runs no model. */
  readonly engine: Engine | undefined;
}

/** A tenant of the platform. */
export interface Team {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the priority of the route; undefined if the team has none. */
  readonly priority: number | undefined;
  /** Regions whose servers may run its requests; empty means any. */
  readonly regions: readonly string[];
}

/** Limits on callers. */
export interface CallerLimits {
  /** In bytes. */
  readonly headers: number;
  /** In bytes. */
  readonly body: number;
  readonly headerTimeout: Milliseconds;
  /** Callers keep connections idle for most of this time before they reuse them. */
  readonly idleTimeout: Milliseconds;
}

/** One version of everything that operators configure. */
export interface DesiredState {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Undefined if requests need no keys at all. */
  readonly teams: readonly Team[] | undefined;
  readonly limits: CallerLimits;
}

/** A server as registered. */
export interface Server extends ServerInstance {
  readonly service: string;
  readonly dataCentre: string;
  /** Max requests that run at once. */
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Remaining time as a cold server, as of the registration. */
  readonly coldLeft: Milliseconds;
}

/** A part of a prompt, which other requests may share and servers cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Size of a request to a model. */
export interface PromptSize {
  readonly promptTokens: number;
  /** Max tokens that may be generated. */
  readonly outputLimit: number;
}

/** A request to a model. */
export interface Prompt extends PromptSize {
  readonly model: string;
  /** In the order of the prompt. The last one is private to the request or its session. */
  readonly parts: readonly PromptPart[];
}
