// Reasons to give up on a connection arise outside the loop that reads it: the caller leaves, the
// permit is revoked, the server falls silent or takes too long. A guard turns them into one signal.

import type { Clock, Milliseconds, Reason } from '@catkinwheel/state';

/** Time without a byte after which a stream counts as silent; engines send a comment each 500 ms. */
export const streamSilenceTimeout: Milliseconds = 2_000;
/** How often time limits are checked. One timer serves all connections, since most need none. */
const checkPeriod: Milliseconds = 100;

/** Why a guard gave up. */
export type AbortReason = Extract<
  Reason,
  'callerGone' | 'revoked' | 'silentConnection' | 'deadline'
>;

export interface GuardOptions {
  /** Aborts when the caller leaves; undefined if the work goes on without its caller. */
  readonly caller: AbortSignal | undefined;
  /** Aborts when the keeper revokes the permit. */
  readonly revoked: AbortSignal;
  /** Time on the clock at which the request must have ended. */
  readonly deadline: Milliseconds;
  /** Time without a byte after which the connection counts as silent; undefined if it never does. */
  readonly silenceTimeout: Milliseconds | undefined;
}

/** Watches all connections to servers. */
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

  /** Guards one connection; `close` of the guard is due at its end. */
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
      await this.#clock.sleep(checkPeriod);
      for (const guard of this.#guards) guard.check();
    }
    this.#isRunning = false;
  }
}

/** Watches one connection to a server. */
export class ConnectionGuard {
  readonly #clock: Clock;
  readonly #options: GuardOptions;
  readonly #onClose: () => void;
  readonly #stop = new AbortController();
  readonly #onCaller = (): void => {
    this.#halt('callerGone');
  };
  readonly #onRevoked = (): void => {
    this.#halt('revoked');
  };
  #reason: AbortReason | undefined;
  /** Since when a byte of the server is awaited. */
  #waitingSince: Milliseconds | undefined;

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

  /** Aborts, with the `Stop` as its reason, when the connection must be closed. */
  get signal(): AbortSignal {
    return this.#stop.signal;
  }

  /** Why the signal aborted, if it did. */
  get reason(): AbortReason | undefined {
    return this.#reason;
  }

  /** Marks whether the server is due to send; only such time counts as its silence. */
  setAwaiting(isAwaited: boolean): void {
    this.#waitingSince = isAwaited ? this.#clock.now() : undefined;
  }

  /** Compares the time with the limits. */
  check(): void {
    const now = this.#clock.now();
    const { deadline, silenceTimeout: silence = Infinity } = this.#options;
    if (now >= deadline) this.#halt('deadline');
    else if (now - (this.#waitingSince ?? now) >= silence) this.#halt('silentConnection');
  }

  close(): void {
    this.#options.caller?.removeEventListener('abort', this.#onCaller);
    this.#options.revoked.removeEventListener('abort', this.#onRevoked);
    this.#onClose();
  }

  #listen(): void {
    const { caller, revoked } = this.#options;
    caller?.addEventListener('abort', this.#onCaller);
    revoked.addEventListener('abort', this.#onRevoked);
    if (caller?.aborted === true) this.#halt('callerGone');
    else if (revoked.aborted) this.#halt('revoked');
  }

  #halt(reason: AbortReason): void {
    if (this.#reason !== undefined) return;
    this.#reason = reason;
    this.#stop.abort(reason);
  }
}
