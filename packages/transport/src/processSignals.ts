// Signals of this process. They come in series, overlap, and may come while the program still starts. So they are caught from
// the moment at which this module is loaded, and those that come before the program can act on them are kept.

import { isatty } from 'node:tty';

const standardInput = 0;

/** What a program does when it gets signals. */
export interface SignalActions {
  /** Ends the process gracefully. Called once, at the first SIGTERM or SIGINT. */
  readonly stop: () => void;
  /** Ends the process at once. Called once, for a SIGINT from a terminal after the one that stops. */
  readonly abort?: () => void;
  /** Reads settings or files again. Called at each SIGHUP until a stop begins. */
  readonly reload: () => void;
}

/** The signals of this process. Their default actions, which end the process, are replaced. */
export class ProcessSignals {
  #actions: SignalActions | undefined;
  #isReloadRequested = false;
  #isStopRequested = false;
  #isAborted = false;

  private constructor(private readonly isAtTerminal: () => boolean) {}

  /** Catches signals from now on. `isAtTerminal` tells whether SIGINT comes from a terminal. */
  static catch(isAtTerminal: () => boolean = () => isatty(standardInput)): ProcessSignals {
    const signals = new ProcessSignals(isAtTerminal);
    process.on('SIGTERM', () => {
      signals.#stop();
    });
    process.on('SIGINT', () => {
      if (signals.#isStopRequested) signals.#abort();
      else signals.#stop();
    });
    process.on('SIGHUP', () => {
      signals.#reload();
    });
    return signals;
  }

  /** Acts on the signals that have come, and on each later one. */
  handle(actions: SignalActions): void {
    this.#actions = actions;
    if (this.#isStopRequested) actions.stop();
    else if (this.#isReloadRequested) actions.reload();
  }

  #stop(): void {
    if (this.#isStopRequested) return;
    this.#isStopRequested = true;
    this.#actions?.stop();
  }

  #abort(): void {
    const abort = this.#actions?.abort;
    if (abort === undefined || this.#isAborted || !this.isAtTerminal()) return;
    this.#isAborted = true;
    abort();
  }

  #reload(): void {
    this.#isReloadRequested = true;
    if (!this.#isStopRequested) this.#actions?.reload();
  }
}

/** The signals that are caught since this module was loaded. */
export const processSignals = ProcessSignals.catch();
