// Combines the reasons to close a server connection into one abort signal: the caller disconnects, the
// permit is revoked, the server is silent for too long, or the deadline passes.

import type { Clock, Milliseconds, Reason } from '@catkinwheel/state';

/** A stream without a byte for this long counts as silent; engines send a comment every 500 ms. */
export const streamSilenceTimeout: Milliseconds = 2_000;
/** Interval of checking the time limits. All connections share one timer, because few ever reach a limit. */
const checkInterval: Milliseconds = 100;
/** Pause between two searches for another server while the silence lasts. */
const searchInterval: Milliseconds = 1_000;

/** Why a connection must be closed. */
export type AbortReason = Extract<
  Reason,
  'callerGone' | 'revoked' | 'silentConnection' | 'deadline'
>;

export interface GuardOptions {
  /** Aborts when the caller disconnects; undefined if the request continues without its caller. */
  readonly caller: AbortSignal | undefined;
  /** Aborts when the keeper revokes the permit. */
  readonly revoked: AbortSignal;
  /** Time on the clock by which the request must have ended. */
  readonly deadline: Milliseconds;
  /** Maximum time without a byte while the server is due to send; undefined without a limit. */
  readonly silenceTimeout: Milliseconds | undefined;
  /**
   * Called after that time: reserves another server to take over, and the connection is closed if there is one. Aborting `signal`
   * ends the search. Never rejects. Undefined if the connection is closed in any case, since its server gives the rest on another.
   */
  readonly findReplacement: ((signal: AbortSignal) => Promise<boolean>) | undefined;
}

/** Checks the time limits of all server connections. */
export class ConnectionWatchdog {
  readonly #clock: Clock;
  readonly #guards = new Set<ConnectionGuard>();
  #isRunning = false;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ConnectionWatchdog {
    return new ConnectionWatchdog(clock);
  }

  /** Starts to guard one connection; the caller must `close` the guard at its end. */
  guard(options: GuardOptions): ConnectionGuard {
    const guard: ConnectionGuard = ConnectionGuard.create(this.#clock, options, () =>
      this.#guards.delete(guard),
    );
    this.#guards.add(guard);
    if (!this.#isRunning) void this.#run();
    return guard;
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    while (this.#guards.size > 0) {
      await this.#clock.sleep(checkInterval);
      for (const guard of this.#guards) guard.check();
    }
    this.#isRunning = false;
  }
}

/** Guards one server connection. */
export class ConnectionGuard {
  readonly #clock: Clock;
  readonly #options: GuardOptions;
  readonly #onClose: () => void;
  readonly #stop = new AbortController();
  readonly #onCallerAbort = (): void => {
    this.#abort('callerGone');
  };
  readonly #onRevoked = (): void => {
    this.#abort('revoked');
  };
  #reason: AbortReason | undefined;
  /** When the wait for the next byte of the server began; undefined while none is due. */
  #awaitingSince: Milliseconds | undefined;
  /** The search for another server. */
  #search: AbortController | undefined;

  private constructor(clock: Clock, options: GuardOptions, onClose: () => void) {
    this.#clock = clock;
    this.#options = options;
    this.#onClose = onClose;
  }

  static create(clock: Clock, options: GuardOptions, onClose: () => void): ConnectionGuard {
    const guard = new ConnectionGuard(clock, options, onClose);
    guard.#listen();
    return guard;
  }

  /** Aborts when the connection must be closed, with the cause as its reason. */
  get signal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Why the signal aborted; undefined if it did not. */
  get reason(): AbortReason | undefined {
    return this.#reason;
  }

  /** Marks whether the server is due to send; only such time counts as silence. */
  setAwaiting(isAwaited: boolean): void {
    this.#awaitingSince = isAwaited ? this.#clock.now() : undefined;
    this.#endSearch();
  }

  /** Aborts the signal if a time limit has passed. */
  check(): void {
    const now = this.#clock.now();
    const { deadline, silenceTimeout = Infinity } = this.#options;
    if (now >= deadline) this.#abort('deadline');
    else if (now - (this.#awaitingSince ?? now) >= silenceTimeout) this.#onSilence(silenceTimeout);
  }

  close(): void {
    this.#endSearch();
    this.#options.caller?.removeEventListener('abort', this.#onCallerAbort);
    this.#options.revoked.removeEventListener('abort', this.#onRevoked);
    this.#onClose();
  }

  #listen(): void {
    const { caller, revoked } = this.#options;
    caller?.addEventListener('abort', this.#onCallerAbort);
    revoked.addEventListener('abort', this.#onRevoked);
    if (caller?.aborted === true) this.#abort('callerGone');
    else if (revoked.aborted) this.#abort('revoked');
  }

  /** A sound server may pause and go on, so it is awaited until another one is ready. */
  #onSilence(timeout: Milliseconds): void {
    const { findReplacement } = this.#options;
    if (findReplacement === undefined) {
      this.#abort('silentConnection');
      return;
    }
    if (this.#search !== undefined) return;
    const search = new AbortController();
    this.#search = search;
    void findReplacement(search.signal).then((isReady) => {
      if (this.#search !== search) return;
      this.#search = undefined;
      if (isReady) this.#abort('silentConnection');
      else this.#awaitingSince = this.#clock.now() - timeout + searchInterval;
    });
  }

  #endSearch(): void {
    this.#search?.abort();
    this.#search = undefined;
  }

  #abort(reason: AbortReason): void {
    if (this.#reason !== undefined) return;
    this.#reason = reason;
    this.#stop.abort(reason);
  }
}
