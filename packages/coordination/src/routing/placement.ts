// Chooses a server by predicted latency and prefix cache. When all servers are busy, each has other prompt parts
// in its cache. Sending requests to any server with room makes servers prefill the same parts again and evict
// others, which costs several times the engine time of the request itself. So prefill time counts several times
// in the score, and a request waits for the best server if that has no room.

import type { Milliseconds } from '@catkinwheel/state';
import type { EngineTiming } from './engineTiming.js';
import { noLoad, type Load } from './loads.js';
import type { Engine } from './model.js';
import { normalFailureRate } from './serverHealth.js';

/**
 * Weight of prefill time against waiting time. Prefill delays all other requests at the server, and the parts that it
 * evicts from memory have to be prefilled again later.
 */
const prefillWeight = 3;
/**
 * Bonus for the home server of a prompt part that no server has cached, so that all routers prefill it at the
 * same server.
 */
const homeBonus: Milliseconds = 150;
/** Each request in a batch makes every step of the others a little longer. */
const batchCost: Milliseconds = 3;
/** Cost of a failure: the time until it is noticed, and a complete retry, which often comes too late. */
const failureCost: Milliseconds = 4_000;
/** Traffic between data centres is charged for; its price is small compared with waiting. */
const crossDataCentreCost: Milliseconds = 15;
/** Nominal time of a request at a plain server, only used to compare servers of one service. */
const plainServiceTime: Milliseconds = 20;
/**
 * Fraction of an engine's memory that may be reserved; the rest covers errors in the estimated output
 * lengths.
 */
const usableMemoryFraction = 0.9;
/** Fraction of the load queued at other routers that is assumed to be served before a request queued here. */
const elsewhereFraction = 0.5;
/** Requests that may queue at a plain server in addition to the running ones, so that it never idles. */
const maxPlainQueue = 2;

/** Room at a server, as fractions of its max prefill backlog and of its batch. */
interface Room {
  readonly backlog: number;
  readonly batch: number;
}

const fullRoom: Room = { backlog: 1, batch: 1 };
/**
 * Room that a team may use while another team that has received much less service waits at another router.
 * Each router sees only its own queue, so the rest is left for the other router to find at its next pass. It
 * is not 0, so that a server does not idle until the other router has learned of the room.
 */
const yieldedRoom: Room = { backlog: 0.3, batch: 0.75 };

/** A server that may be sent the request, with the inputs of its score. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** Requests of the whole fleet in flight there. */
  readonly load: Load;
  /** Requests queued at this router for the server that go before this one. */
  readonly queuedAhead: Load;
  /** Requests queued at other routers for the server. */
  readonly queuedElsewhere: Load;
  /** Prompt tokens that the server would have to prefill; 0 for plain services. */
  readonly uncachedTokens: number;
  /** Fraction of its recent requests that failed. */
  readonly failureRate: number;
  readonly isInOwnDataCentre: boolean;
  /** Whether a team that has received much less service waits for it at another router. */
  readonly yieldsRoom: boolean;
}

/** The timing model of a service's servers. */
export type Timing =
  | {
      readonly kind: 'engine';
      readonly engineTiming: EngineTiming;
      readonly engine: Engine;
      /** Longest prefill backlog that a server may have. */
      readonly backlogLimit: Milliseconds;
    }
  | { readonly kind: 'plain' };

/** The chosen server, if any. */
export type Placement =
  | {
      /** `wait`: the server has no room at present; `predicted` includes the wait. */
      readonly kind: 'server' | 'wait';
      readonly id: string;
      /** Predicted time to the first token, or to the response of a plain server. */
      readonly predicted: Milliseconds;
      /** The same for an idle server with an empty queue. */
      readonly idlePrediction: Milliseconds;
      /** Load that the request adds to the server. */
      readonly addedLoad: Load;
    }
  | {
      readonly kind: 'none';
      /** Time until the first server wants requests again; undefined unless none wants any now. */
      readonly availableIn?: Milliseconds;
    }
  /** A part of the request's prompt is blocked for so long. */
  | { readonly kind: 'blocked'; readonly blockedFor: Milliseconds };

/**
 * Chooses the candidate with the best score. `memory` is what the request needs in addition to shared parts,
 * in tokens. `home` is the server at which all routers prefill the prompt's shared parts first.
 */
export function chooseServer(
  candidates: readonly Candidate[],
  timing: Timing,
  home: string | undefined,
  memory: number,
): Placement {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const score = scoreOf(candidate, timing) - (candidate.id === home ? homeBonus : 0);
    if (score < bestScore) {
      best = candidate;
      bestScore = score;
    }
  }
  if (best === undefined) return { kind: 'none' };
  return {
    kind: hasRoom(best, timing, memory) ? 'server' : 'wait',
    id: best.id,
    predicted: predictedTime(best, timing),
    idlePrediction: predictedTime(
      { ...best, load: noLoad, queuedAhead: noLoad, queuedElsewhere: noLoad },
      timing,
    ),
    addedLoad: { unread: best.uncachedTokens, requests: 1, memory },
  };
}

function predictedTime(candidate: Candidate, timing: Timing): Milliseconds {
  const { load, queuedAhead, queuedElsewhere, uncachedTokens, slots } = candidate;
  switch (timing.kind) {
    case 'engine':
      return timing.engineTiming.timeToFirstToken(
        load.unread +
          queuedAhead.unread +
          elsewhereFraction * queuedElsewhere.unread +
          uncachedTokens,
      );
    case 'plain': {
      const requestsBefore =
        load.requests + queuedAhead.requests + elsewhereFraction * queuedElsewhere.requests;
      return plainServiceTime * (1 + requestsBefore / Math.max(1, slots));
    }
  }
}

function hasRoom(candidate: Candidate, timing: Timing, memory: number): boolean {
  const { load, queuedAhead, slots, yieldsRoom } = candidate;
  const requests = load.requests + queuedAhead.requests;
  const room = yieldsRoom ? yieldedRoom : fullRoom;
  switch (timing.kind) {
    case 'engine':
      return (
        requests < slots * room.batch &&
        timing.engineTiming.prefillTime(load.unread + queuedAhead.unread) <
          timing.backlogLimit * room.backlog &&
        (requests === 0 ||
          load.memory + queuedAhead.memory + memory < timing.engine.memory * usableMemoryFraction)
      );
    case 'plain':
      return requests < slots + maxPlainQueue;
  }
}

function scoreOf(candidate: Candidate, timing: Timing): number {
  const { load, uncachedTokens, failureRate, isInOwnDataCentre } = candidate;
  const isEngine = timing.kind === 'engine';
  const prefillTime = isEngine ? timing.engineTiming.prefillTime(uncachedTokens) : 0;
  return (
    predictedTime(candidate, timing) +
    (prefillWeight - 1) * prefillTime +
    (isEngine ? batchCost * load.requests : 0) +
    failureCost * Math.max(0, failureRate - normalFailureRate) +
    (isInOwnDataCentre ? 0 : crossDataCentreCost)
  );
}
