// Load pattern: every server is busy, and each has read other prompt parts. Sending a request wherever
// there is room makes servers read the same parts again and push out others, which costs several times
// the engine time of the request itself. A request goes to the server that is predicted to serve it best,
// counting its reading several times, and waits for that server if it has no room.

import type { Milliseconds } from '@catkinwheel/state';
import type { EngineModel } from './engineTiming.js';
import { noLoad, type Load } from './loads.js';
import type { Engine } from './model.js';
import { usualFailures } from './serverHealth.js';

/**
 * Weight of reading time against waiting time. Reading delays all others at the server, and what it pushes
 * out of memory is read again later.
 */
const readingWeight = 3;
/** Head start of the home of a prompt part that no server holds, so that routers agree where to read it. */
const homeAdvantage: Milliseconds = 150;
/** Each request in a batch makes every step of the others a little longer. */
const batchCost: Milliseconds = 3;
/** What a failure costs: the time to notice it, and the whole request once more, often too late. */
const failureCost: Milliseconds = 4_000;
/** Traffic between data centres is charged for; the price is small against waiting. */
const distanceCost: Milliseconds = 15;
/** Time that a request takes at a plain server, only used to compare servers of one service. */
const plainWork: Milliseconds = 20;
/** Part of an engine's memory that may be promised; output lengths are rough. */
const usedMemory = 0.9;
/** Part of what waits at other routers that goes before a request that waits here. */
const elsewherePart = 0.5;
/** Requests that may wait at a plain server beside those that run, so that it never idles. */
const plainQueue = 2;

/** Room at a server, as parts of the backlog that it may have and of its batch. */
interface Room {
  readonly backlog: number;
  readonly batch: number;
}

const fullRoom: Room = { backlog: 1, batch: 1 };
/**
 * Room that is used while a team that has received much less waits at another router. Each router sees only
 * its own queue; the rest is found open by that router at its next look. It is not 0, so that a server does
 * not idle until the news of its room has spread.
 */
const yieldedRoom: Room = { backlog: 0.3, batch: 0.75 };

/** A server that may be sent the request, and all that speaks for or against it. */
export interface Candidate {
  readonly id: string;
  readonly slots: number;
  /** What the fleet has under way there. */
  readonly load: Load;
  /** What waits for the server at this router and goes before the request. */
  readonly ahead: Load;
  /** What waits for the server at other routers. */
  readonly elsewhere: Load;
  /** Tokens that the server would have to read; 0 for plain services. */
  readonly missing: number;
  /** Share of its recent requests that failed. */
  readonly failureRate: number;
  readonly isNear: boolean;
  /** Whether a team that has received much less waits for it at another router. */
  readonly isYielded: boolean;
}

/** The timing of a service's servers. */
export type Timing =
  | {
      readonly kind: 'engine';
      readonly model: EngineModel;
      readonly engine: Engine;
      /** Longest backlog of reading that a server may have. */
      readonly backlogLimit: Milliseconds;
    }
  | { readonly kind: 'plain' };

/** The server chosen, or that there is none. */
export type Placement =
  | {
      /** `wait`: the server has no room now; `predicted` contains what goes before. */
      readonly kind: 'server' | 'wait';
      readonly id: string;
      /** Time to the first token, or to the answer of a plain server. */
      readonly predicted: Milliseconds;
      /** The same time if nothing went before. */
      readonly alone: Milliseconds;
      /** What the request adds to the server. */
      readonly added: Load;
    }
  | { readonly kind: 'none' };

/**
 * Picks one of the candidates. `memory` is what the request needs beside shared parts, in tokens. `home` is
 * the server at which all routers read the prompt's shared parts first.
 */
export function place(
  candidates: readonly Candidate[],
  timing: Timing,
  home: string | undefined,
  memory: number,
): Placement {
  let best: Candidate | undefined;
  let bestScore = Infinity;
  for (const candidate of candidates) {
    const score = scoreOf(candidate, timing) - (candidate.id === home ? homeAdvantage : 0);
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
    alone: predictedTime({ ...best, load: noLoad, ahead: noLoad, elsewhere: noLoad }, timing),
    added: { unread: best.missing, requests: 1, memory },
  };
}

function predictedTime(candidate: Candidate, timing: Timing): Milliseconds {
  const { load, ahead, elsewhere, missing, slots } = candidate;
  switch (timing.kind) {
    case 'engine':
      return timing.model.firstToken(
        load.unread + ahead.unread + elsewherePart * elsewhere.unread + missing,
      );
    case 'plain': {
      const before = load.requests + ahead.requests + elsewherePart * elsewhere.requests;
      return plainWork * (1 + before / Math.max(1, slots));
    }
  }
}

function hasRoom(candidate: Candidate, timing: Timing, memory: number): boolean {
  const { load, ahead, slots, isYielded } = candidate;
  const requests = load.requests + ahead.requests;
  const part = isYielded ? yieldedRoom : fullRoom;
  switch (timing.kind) {
    case 'engine':
      return (
        requests < slots * part.batch &&
        timing.model.reading(load.unread + ahead.unread) < timing.backlogLimit * part.backlog &&
        (requests === 0 || load.memory + ahead.memory + memory < timing.engine.memory * usedMemory)
      );
    case 'plain':
      return requests < slots + plainQueue;
  }
}

function scoreOf(candidate: Candidate, timing: Timing): number {
  const { load, missing, failureRate, isNear } = candidate;
  const isEngine = timing.kind === 'engine';
  const reading = isEngine ? timing.model.reading(missing) : 0;
  return (
    predictedTime(candidate, timing) +
    (readingWeight - 1) * reading +
    (isEngine ? batchCost * load.requests : 0) +
    failureCost * Math.max(0, failureRate - usualFailures) +
    (isNear ? 0 : distanceCost)
  );
}
