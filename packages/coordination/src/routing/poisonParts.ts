// Prompt parts under which servers end: a query of death that comes again and again in requests that are otherwise different.
// Such a part is found by the smallest common cause of several ends and blocked, so that the other requests, which share its
// caller and all other parts, are served. A part is acquitted by each request with it that a server goes on answering.
//
// Load pattern: servers end one after the other, each with many requests under way, some of which had hardly begun; most of
// these share parts with one another and with the request that is the cause. Servers also end for other reasons, many at the
// same moment among them.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { CrashEnd } from './crashReports.js';

/** Ends after which a part is blocked if no request with it is known to have been answered. */
const minEnds = 3;
/** The same if another part is at as many ends: chance has to be excluded. */
const minAmbiguousEnds = 5;
/** The same for a part with which requests were answered, after the last of these. */
const minEndsSinceProof = 5;
/** The same after a block has run out. */
const minEndsSinceBlock = 1;
/** Ends within this time of one another may have one cause, such as the loss of a data centre, and count as one. */
const sameMoment: Milliseconds = 100;
/** Duration of the block of a part with which no request is known to have been answered. */
const blockTime: Milliseconds = 600_000;
/**
 * Duration of the first block of a part with which requests were answered before; each further block is `blockGrowth` times
 * as long.
 */
const firstBlockTime: Milliseconds = 20_000;
const blockGrowth = 3;
/** Time after the end of a block for which it is remembered. */
const blockMemory: Milliseconds = 3_600_000;
/** A block that ends sooner is not taken over: routers would pass its last moments on to one another without end. */
const minAdoptedTime: Milliseconds = 2_000;
/** Max parts for which the last proof is remembered; the one that was proven longest ago is forgotten first. */
const maxProofs = 20_000;
/** Max blocks that are kept; those of other routers are not taken over beyond, and the oldest of this one are dropped. */
const maxBlocks = 1_024;

interface Block {
  readonly at: Milliseconds;
  readonly until: Milliseconds;
}

/** A part that is to be blocked, and the ends that speak for it. */
export interface Suspicion {
  readonly part: string;
  readonly ends: number;
}

/** A part and how long ago a server answered a request with it, or how much longer it is blocked. */
export type TimedPart = readonly [part: string, time: Milliseconds];

/** The parts that one router knows to be blocked, and those that it knows to be sound. */
export class PoisonParts {
  /** Time of the last proof that the part is sound, the oldest first. */
  readonly #proofs = new Map<string, Milliseconds>();
  readonly #blocks = new Map<string, Block>();

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): PoisonParts {
    return new PoisonParts(clock);
  }

  /**
   * Records that a server went on answering a request with the parts, or did so `age` ago. Returns the parts that are blocked
   * no longer.
   */
  prove(parts: readonly string[], age: Milliseconds = 0): readonly string[] {
    const at = this.clock.now() - age;
    const released: string[] = [];
    for (const part of parts) {
      const proven = Math.max(at, this.#proofs.get(part) ?? -Infinity);
      this.#proofs.delete(part);
      this.#proofs.set(part, proven);
      const block = this.#blocks.get(part);
      if (block === undefined || block.at >= at) continue;
      this.#blocks.delete(part);
      if (block.until > this.clock.now()) released.push(part);
    }
    for (const part of this.#proofs.keys()) {
      if (this.#proofs.size <= maxProofs) break;
      this.#proofs.delete(part);
    }
    return released;
  }

  /** Blocks the parts that the ends speak against; returns those that are blocked now and were not before. */
  judge(ends: readonly CrashEnd[]): readonly Suspicion[] {
    const found: Suspicion[] = [];
    for (;;) {
      const suspicion = this.#worst(ends);
      if (suspicion === undefined) return found;
      this.#block(suspicion.part);
      found.push(suspicion);
    }
  }

  /** Takes over the block of another router, for at most `blockTime`, unless this router has seen a request with the part answered. */
  adopt([part, remaining]: TimedPart): boolean {
    if (remaining < minAdoptedTime || this.#proofs.has(part) || this.#isBlocked(part)) return false;
    if (this.#blocks.size >= maxBlocks) return false;
    const now = this.clock.now();
    this.#blocks.set(part, { at: now, until: now + Math.min(remaining, blockTime) });
    return true;
  }

  /** How long a request with these parts is refused; 0 if it is not. */
  blockedFor(parts: readonly string[]): Milliseconds {
    if (this.#blocks.size === 0) return 0;
    const now = this.clock.now();
    return Math.max(0, ...parts.map((part) => (this.#blocks.get(part)?.until ?? now) - now));
  }

  /** Blocked parts with the remaining times, the longest first. */
  blocked(): readonly TimedPart[] {
    const now = this.clock.now();
    return [...this.#blocks]
      .map(([part, { until }]): TimedPart => [part, until - now])
      .filter(([, remaining]) => remaining > 0)
      .sort(([, a], [, b]) => b - a);
  }

  /** Which of the parts are proven sound, with the ages of the proofs. */
  proofsOf(parts: Iterable<string>): readonly TimedPart[] {
    const now = this.clock.now();
    return [...parts].flatMap((part) => {
      const at = this.#proofs.get(part);
      return at === undefined ? [] : [[part, now - at] as const];
    });
  }

  /** Forgets blocks that ended long ago. */
  expire(): void {
    const oldest = this.clock.now() - blockMemory;
    for (const [part, { until }] of this.#blocks) if (until < oldest) this.#blocks.delete(part);
  }

  /** The part that best explains the ends which no blocked part explains. */
  #worst(ends: readonly CrashEnd[]): Suspicion | undefined {
    const unexplained = ends.filter(({ at, parts }) => !this.#isExplained(at, parts.keys()));
    const candidates = new Set(unexplained.flatMap(({ parts }) => [...parts.keys()]));
    const suspects = [...candidates].flatMap((part) => {
      const since = Math.max(
        this.#proofs.get(part) ?? -Infinity,
        this.#blocks.get(part)?.until ?? -Infinity,
      );
      const against = unexplained.filter((end) => end.at > since && end.parts.has(part));
      const count = countMoments(against);
      if (count < this.#minEnds(part)) return [];
      const implicated = against.map((end) => end.parts.get(part));
      const requests = implicated.reduce((sum, each) => sum + (each?.requests ?? 0), 0);
      const depth = Math.max(...implicated.map((each) => each?.depth ?? 0));
      return [
        { part, ends: count, isProven: this.#proofs.has(part), ratio: requests / count, depth },
      ];
    });
    // The cause is in one request of each end; what many requests share is in more of them.
    suspects.sort(
      (a, b) =>
        Number(a.isProven) - Number(b.isProven) ||
        b.ends - a.ends ||
        a.ratio - b.ratio ||
        b.depth - a.depth,
    );
    const [first, second] = suspects;
    if (first === undefined || second === undefined) return first;
    const isAmbiguous = first.isProven === second.isProven && first.ends === second.ends;
    return isAmbiguous && first.ends < minAmbiguousEnds ? undefined : first;
  }

  #minEnds(part: string): number {
    if (this.#blocks.has(part)) return minEndsSinceBlock;
    return this.#proofs.has(part) ? minEndsSinceProof : minEnds;
  }

  #isExplained(at: Milliseconds, parts: Iterable<string>): boolean {
    return [...parts].some((part) => {
      const block = this.#blocks.get(part);
      return block !== undefined && at <= block.until;
    });
  }

  #isBlocked(part: string): boolean {
    return (this.#blocks.get(part)?.until ?? 0) > this.clock.now();
  }

  #block(part: string): void {
    const now = this.clock.now();
    const before = this.#blocks.get(part);
    this.#blocks.set(part, { at: now, until: now + this.#blockTime(part, before) });
    for (const oldest of this.#blocks.keys()) {
      if (this.#blocks.size <= maxBlocks) break;
      this.#blocks.delete(oldest);
    }
  }

  #blockTime(part: string, before: Block | undefined): Milliseconds {
    if (!this.#proofs.has(part)) return blockTime;
    if (before === undefined) return firstBlockTime;
    return Math.min(blockTime, (before.until - before.at) * blockGrowth);
  }
}

/** Number of ends, counting those that come within `sameMoment` as one. They are in the order of time. */
function countMoments(ends: readonly CrashEnd[]): number {
  let count = 0;
  let last = -Infinity;
  for (const { at } of ends) {
    if (at - last < sameMoment) continue;
    count += 1;
    last = at;
  }
  return count;
}
