// Adaptive concurrency limit of one server. Its capacity depends on its caches, so the limit grows slowly
// on success and drops at once on any sign that the server turned cold.

import type { ServerPhase } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';

/** Successes in a row, per unit of the cold limit, before the limit of a cold server starts to grow. */
const successesPerColdLimit = 2;
/** Multiple of the usual time to first byte above which a response counts as slow. */
const slowFactor = 3;
/** Times to first byte below this are never slow: scheduling noise alone can triple them. */
export const slowFirstByteThreshold: Milliseconds = 100;
/** Slow responses in a row that show a cold server; a single one may be due to a long prompt. */
const slowResponsesBeforeCold = 3;
/** Minimum number of responses for a usual time to first byte. */
const minUsualSamples = 20;
/** Weight of one response in the moving average, which adapts to a lasting change within about 20 responses. */
const usualWeight = 0.05;

/** Limits of a server from the catalogue, in requests in flight. */
export interface ServerLimits {
  readonly coldLimit: number;
  readonly warmLimit: number;
}

/** State of a server at its previous keeper; valid only for the same boot id. */
export interface Inheritance {
  readonly phase: ServerPhase;
  readonly limit: number;
  readonly boot: string;
}

/** Something observed about a server. */
export type Observation =
  /** A request ran to its end; the time to first byte is null if it was not measured. */
  | { readonly kind: 'completed'; readonly firstByte: Milliseconds | null }
  /** The first byte of a response arrived late. */
  | { readonly kind: 'started'; readonly firstByte: Milliseconds }
  /** A connection was refused or reset, or the server responded with 503. */
  | { readonly kind: 'refused' }
  /** A load report arrived. `leaving` also covers the VM list and drains. */
  | { readonly kind: 'reported'; readonly boot: string; readonly leaving: boolean }
  /** No load report arrived within the suspect time. */
  | { readonly kind: 'unreported' }
  /** Whether the server leaves, by the VM list or the catalogue. */
  | { readonly kind: 'leaving'; readonly leaving: boolean }
  /** The limits in the catalogue. */
  | { readonly kind: 'limits'; readonly limits: ServerLimits };

interface State {
  readonly limits: ServerLimits;
  readonly phase: ServerPhase;
  readonly limit: number;
  /** Boot id of the last load report; empty before the first. */
  readonly boot: string;
  readonly inherited: Inheritance | undefined;
  /** Successes since the last growth, change of phase or failure. */
  readonly successes: number;
  readonly usualFirstByte: Milliseconds;
  readonly samples: number;
  readonly slowInRow: number;
}

/** The limit of one server as an immutable value; equal observations give equal limits. */
export class ServerLimit {
  readonly #state: State;

  private constructor(state: State) {
    this.#state = state;
  }

  /**
   * A limit that starts cold. Phase and limit of `inherited` are applied if the first load report shows
   * the same boot id.
   */
  static create(limits: ServerLimits, inherited?: Inheritance): ServerLimit {
    return new ServerLimit({
      limits,
      phase: 'cold',
      limit: limits.coldLimit,
      boot: '',
      inherited,
      successes: 0,
      usualFirstByte: 0,
      samples: 0,
      slowInRow: 0,
    });
  }

  get phase(): ServerPhase {
    return this.#state.phase;
  }

  /** Maximum number of requests in flight; 0 while the server is leaving. */
  get limit(): number {
    return this.#state.limit;
  }

  get boot(): string {
    return this.#state.boot;
  }

  /** Whether the last responses were slow, but not enough of them to treat the server as cold. */
  get isSlowing(): boolean {
    return this.#state.slowInRow > 0;
  }

  /** The limit after an observation. */
  after(observation: Observation): ServerLimit {
    return new ServerLimit(next(this.#state, observation));
  }
}

function next(state: State, observation: Observation): State {
  switch (observation.kind) {
    case 'completed':
      return completed(state, observation.firstByte);
    case 'started':
      return started(state, observation.firstByte);
    case 'refused':
      return state.phase === 'leaving' ? state : cold(state);
    case 'reported':
      return reported(state, observation.boot, observation.leaving);
    case 'unreported':
      return unreported(state);
    case 'leaving':
      return leaving(state, observation.leaving);
    case 'limits':
      return withLimits(state, observation.limits);
  }
}

function cold(state: State): State {
  return { ...state, phase: 'cold', limit: state.limits.coldLimit, successes: 0, slowInRow: 0 };
}

function started(state: State, firstByte: Milliseconds): State {
  const measured = withFirstByte(state, firstByte);
  return measured.slowInRow >= slowResponsesBeforeCold && measured.phase !== 'leaving'
    ? cold(measured)
    : measured;
}

function completed(state: State, firstByte: Milliseconds | null): State {
  const measured = firstByte === null ? state : started(state, firstByte);
  if (measured.phase === 'cold' && state.phase !== 'cold') return measured;
  if (measured.slowInRow > 0) return { ...measured, successes: 0 };
  return grown({ ...measured, successes: measured.successes + 1 });
}

function withFirstByte(state: State, firstByte: Milliseconds): State {
  const known = state.samples >= minUsualSamples;
  const isSlow =
    known && firstByte > Math.max(slowFactor * state.usualFirstByte, slowFirstByteThreshold);
  const weight = Math.max(usualWeight, 1 / (state.samples + 1));
  return {
    ...state,
    usualFirstByte: state.usualFirstByte + weight * (firstByte - state.usualFirstByte),
    samples: Math.min(state.samples + 1, minUsualSamples),
    slowInRow: isSlow ? state.slowInRow + 1 : 0,
  };
}

function grown(state: State): State {
  switch (state.phase) {
    case 'cold':
      return state.successes < successesPerColdLimit * state.limits.coldLimit
        ? state
        : raised({ ...state, phase: 'warming', successes: 0 }, state.limit);
    case 'warming':
      return state.successes < state.limit ? state : raised(state, state.limit + 1);
    case 'warm':
    case 'leaving':
    case 'suspect':
      return state;
  }
}

function raised(state: State, limit: number): State {
  const { warmLimit } = state.limits;
  const phase = limit >= warmLimit ? 'warm' : 'warming';
  return { ...state, phase, limit: Math.min(limit, warmLimit), successes: 0 };
}

function reported(state: State, boot: string, isLeaving: boolean): State {
  const seen = { ...state, boot, inherited: undefined };
  if (isLeaving) return leaving(seen, true);
  if (state.phase === 'leaving') return cold(seen);
  if (state.boot === '') return withInheritance(seen, state.inherited);
  if (state.boot !== boot) return cold(seen);
  return state.phase === 'suspect' ? resumed(seen, state.limit) : seen;
}

function withInheritance(state: State, inherited: Inheritance | undefined): State {
  if (inherited?.boot !== state.boot || inherited.phase === 'leaving') return cold(state);
  return inherited.phase === 'cold' ? cold(state) : resumed(state, inherited.limit);
}

/** Continues at `limit`, bounded by the cold and the warm limit. */
function resumed(state: State, limit: number): State {
  return limit <= state.limits.coldLimit ? cold(state) : raised(state, limit);
}

function unreported(state: State): State {
  if (state.phase === 'leaving' || state.phase === 'suspect') return state;
  const half = Math.max(state.limits.coldLimit, Math.floor(state.limit / 2));
  return { ...state, phase: 'suspect', limit: half, successes: 0 };
}

function leaving(state: State, isLeaving: boolean): State {
  if (isLeaving) return { ...state, phase: 'leaving', limit: 0, successes: 0 };
  return state.phase === 'leaving' ? cold(state) : state;
}

function withLimits(state: State, limits: ServerLimits): State {
  const isUnchanged =
    limits.coldLimit === state.limits.coldLimit && limits.warmLimit === state.limits.warmLimit;
  if (isUnchanged) return state;
  const changed = { ...state, limits };
  if (state.phase === 'leaving') return changed;
  if (state.phase === 'cold') return cold(changed);
  if (state.phase !== 'suspect') return resumed(changed, state.limit);
  const limit = Math.min(Math.max(state.limit, limits.coldLimit), limits.warmLimit);
  return { ...changed, limit };
}
