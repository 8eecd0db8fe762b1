// Every decision that depends on time reads it from a `Clock`, so that tests can control it.

/**
 * A duration or a point in time in milliseconds. Points in time cannot be compared between
 * processes.
 */
export type Milliseconds = number;

/** A monotonic clock in milliseconds. */
export abstract class Clock {
  /** The monotonic clock of this process. */
  static system(): Clock {
    return new SystemClock();
  }

  /** A clock for tests that changes only through `advance` and `jump`. */
  static manual(start: Milliseconds = 0): ManualClock {
    return new ManualClock(start);
  }

  /** Current time in milliseconds since an arbitrary start. Never decreases. */
  abstract now(): Milliseconds;

  /** Resolves once `duration` has passed, or at once when `signal` aborts. Never rejects. */
  abstract sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void>;

  /**
   * Yields once per `period` until `signal` aborts. Periods that a slow consumer misses are
   * skipped, not queued.
   */
  async *every(period: Milliseconds, signal: AbortSignal): AsyncGenerator<Milliseconds> {
    while (!signal.aborted) {
      yield this.now();
      await this.sleep(period, signal);
    }
  }
}

class SystemClock extends Clock {
  now(): Milliseconds {
    return performance.now();
  }

  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const timer = setTimeout(finish, duration);
      signal?.addEventListener('abort', finish);
    });
  }
}

interface Sleeper {
  readonly due: Milliseconds;
  readonly wake: () => void;
}

/** A clock for tests: time passes only through `advance` and `jump`. */
export class ManualClock extends Clock {
  #now: Milliseconds;
  #sleepers: readonly Sleeper[] = [];

  constructor(start: Milliseconds) {
    super();
    this.#now = start;
  }

  now(): Milliseconds {
    return this.#now;
  }

  sleep(duration: Milliseconds, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      const finish = (): void => {
        this.#sleepers = this.#sleepers.filter((other) => other !== sleeper);
        signal?.removeEventListener('abort', finish);
        resolve();
      };
      const sleeper: Sleeper = { due: this.#now + duration, wake: finish };
      this.#sleepers = [...this.#sleepers, sleeper];
      signal?.addEventListener('abort', finish);
    });
  }

  /**
   * Moves time forward without waking sleepers, as a process sees it that resumes after a pause.
   */
  jump(duration: Milliseconds): void {
    this.#now += duration;
  }

  /** Moves time forward by `duration`, waking sleepers in order of their due time. */
  async advance(duration: Milliseconds): Promise<void> {
    const end = this.#now + duration;
    for (;;) {
      await flushPromises();
      const next = this.#sleepers
        .filter((sleeper) => sleeper.due <= end)
        .reduce<Sleeper | undefined>(
          (a, b) => (a === undefined || b.due < a.due ? b : a),
          undefined,
        );
      if (next === undefined) break;
      this.#now = Math.max(this.#now, next.due);
      next.wake();
    }
    this.#now = end;
    await flushPromises();
  }
}

/** Lets pending promise callbacks run before time moves on. */
function flushPromises(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
