// Replaces a server that has fallen silent. A sound server may pause and go on, so its response is awaited until another server is
// ready to take the request over, and given up only then.

import type { Grant } from '@catkinwheel/coordination/routing';
import type { Milliseconds } from '@catkinwheel/state';
import { nextTurn } from './eventLoopTurn.js';

/** Pause between two searches while the silence lasts. */
const searchInterval: Milliseconds = 500;

/** Finds a server to take the request over; undefined if none is ready. Aborting `signal` ends the search. Never rejects. */
export type ServerSearch = (signal: AbortSignal) => Promise<Grant | undefined>;

/** Watches the silence of the server of one attempt. */
export class SilenceWatch {
  #timer: NodeJS.Timeout | undefined;
  #currentSearch: AbortController | undefined;
  #replacement: Grant | undefined;

  private constructor(
    private readonly search: ServerSearch,
    private readonly giveUp: () => void,
    private readonly onSilence: () => void,
  ) {}

  /**
   * `giveUp` is called once, when a server that takes over was found; `onSilence` whenever a time limit has passed and nothing has
   * come.
   */
  static create(search: ServerSearch, giveUp: () => void, onSilence: () => void): SilenceWatch {
    return new SilenceWatch(search, giveUp, onSilence);
  }

  /** The server that takes over; undefined unless `giveUp` was called. */
  get replacement(): Grant | undefined {
    return this.#replacement;
  }

  /** Searches for another server if nothing comes within this time; replaces an earlier limit. */
  expect(within: Milliseconds): void {
    this.clear();
    this.#timer = setTimeout(() => {
      void this.#replace();
    }, within);
  }

  /** Bytes have come, or the attempt has ended: ends a search. */
  clear(): void {
    clearTimeout(this.#timer);
    this.#currentSearch?.abort();
    this.#currentSearch = undefined;
  }

  async #replace(): Promise<void> {
    const search = new AbortController();
    this.#currentSearch = search;
    await nextTurn();
    if (this.#currentSearch !== search) return;
    this.onSilence();
    const found = await this.search(search.signal);
    if (this.#currentSearch !== search) {
      found?.finish();
    } else if (found === undefined) {
      this.expect(searchInterval);
    } else {
      this.#replacement = found;
      this.giveUp();
    }
  }
}
