// Structured log: one JSON object per line on standard output. A flood of lines must not slow requests down, so lines above
// a rate limit are counted instead of written, and the count is logged as soon as the limit allows it.

import { standardOutput } from '@catkinwheel/transport/lineOutput';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Logger, type ILogObj, type ILogObjMeta } from 'tslog';

/** Fields of a line. */
export type Fields = Readonly<Record<string, unknown>>;

/** Sustained lines per second; a router of the largest deployments receives about a third as many requests. */
const linesPerSecond = 100;
/** Maximum of lines at once. */
const maxBurst = 300;

/** The log of one process. Never blocks and never throws. */
export class Log {
  readonly #logger: Logger<ILogObj>;
  readonly #startedAt: Milliseconds;
  #allowance = maxBurst;
  #refilledAt: Milliseconds;
  /** Lines above the rate limit that no line has told of yet, and all of them. */
  #dropped = 0;
  #allDropped = 0;

  private constructor(
    private readonly clock: Clock,
    router: string,
    boot: string,
  ) {
    this.#startedAt = clock.now();
    this.#refilledAt = this.#startedAt;
    this.#logger = new Logger<ILogObj>({
      type: 'json',
      hideLogPositionForProduction: true,
      // No line contains a secret, and searching for them costs more than writing the line.
      maskValuesOfKeys: [],
      overwrite: {
        toLogObj: (args) => Object.assign({}, ...args) as ILogObj,
        addMeta: (line) => line as ILogObj & ILogObjMeta,
        transportJSON: (line) => {
          // The wall clock may jump; the time since the start orders the lines of one process.
          const up = Math.round(clock.now() - this.#startedAt);
          const time = new Date().toISOString();
          standardOutput.write(JSON.stringify({ time, router, boot, up, ...(line as object) }));
        },
      },
    });
  }

  /** `boot` distinguishes the processes of one router. */
  static create(clock: Clock, router: string, boot: string): Log {
    return new Log(clock, router, boot);
  }

  /** Lines that were not written since the start: above the rate limit, or since the reader was stuck or gone. */
  get lost(): number {
    return this.#allDropped + standardOutput.lost;
  }

  /** Writes a line, or counts it as dropped if the rate limit is exceeded. */
  write(event: string, fields: Fields = {}): void {
    if (!this.#mayWrite()) {
      this.#dropped += 1;
      this.#allDropped += 1;
      return;
    }
    if (this.#dropped > 0 && this.#allowance >= 1) {
      this.#allowance -= 1;
      const lines = this.#dropped;
      this.#dropped = 0;
      this.#logger.info({ event: 'lines dropped', lines });
    }
    this.#logger.info({ event, ...fields });
  }

  /** Writes a line of a periodic report, whatever the rate of other lines: a router that logs too much is one to be looked at. */
  report(event: string, fields: Fields): void {
    this.#logger.info({ event, ...fields });
  }

  #mayWrite(): boolean {
    const now = this.clock.now();
    const refill = ((now - this.#refilledAt) / 1_000) * linesPerSecond;
    this.#allowance = Math.min(maxBurst, this.#allowance + refill);
    this.#refilledAt = now;
    if (this.#allowance < 1) return false;
    this.#allowance -= 1;
    return true;
  }
}
