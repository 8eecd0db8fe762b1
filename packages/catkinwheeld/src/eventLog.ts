// Writes the router's log. Only changes of state are logged; recurring events are counted in metrics.

import { standardError } from '@catkinwheel/transport/lineOutput';
import { Logger } from 'tslog';
import type { ILogObj } from 'tslog';
import type { Settings } from './settings.js';

type Level = Settings['log']['level'];

const levelNumbers: Readonly<Record<Level, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Structured log of one router on standard error: one JSON object per line, or plain text with `pretty`. */
export class RouterEventLog {
  readonly #logger: Logger<ILogObj>;

  private constructor(logger: Logger<ILogObj>) {
    this.#logger = logger;
  }

  static create(router: string, log: Settings['log']): RouterEventLog {
    return new RouterEventLog(
      new Logger<ILogObj>({
        name: router,
        type: log.format,
        minLevel: levelNumbers[log.level],
        hideLogPositionForProduction: true,
        overwrite: {
          transportJSON: (line) => {
            standardError.write(JSON.stringify(line));
          },
          transportFormatted: (meta, args, errors) => {
            const fields = args.map((arg) => (typeof arg === 'string' ? arg : JSON.stringify(arg)));
            standardError.write([meta, ...fields, ...errors].join(' '));
          },
        },
      }),
    );
  }

  /** Records a change of state. */
  record(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.#logger.info({ event, ...fields });
  }

  /** Records a fault that needs an operator's attention. */
  fault(event: string, fields: Readonly<Record<string, unknown>> = {}): void {
    this.#logger.error({ event, ...fields });
  }
}
