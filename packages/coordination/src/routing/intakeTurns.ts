// Divides the turns of an event loop between reading new connections and serving requests. Load pattern: more connections come in
// than there are turns. A turn accepts one connection, however many wait in the operating system, and lasts as long as all work
// in it. So a turn begins one request at most, and none while connections are coming in, up to a number of them: what has not been
// read cannot be put in order.

/** Connections that are accepted for each request that is begun, if so many come. Refusing one costs a fraction of serving one. */
const acceptedPerBegin = 8;

/** The turns of one event loop. */
export class IntakeTurns {
  /** Connections accepted in this turn, and since a request was begun last. */
  #acceptedNow = 0;
  #accepted = 0;

  private constructor() {
    // Instances come from `create`.
  }

  static create(): IntakeTurns {
    return new IntakeTurns();
  }

  /** Counts a connection that was accepted in this turn. */
  recordAccepted(): void {
    this.#acceptedNow += 1;
    this.#accepted += 1;
  }

  /** Ends a turn. Returns whether a request is to be begun in it, if one waits. */
  end(): boolean {
    const areMoreComing = this.#acceptedNow > 0 && this.#accepted < acceptedPerBegin;
    this.#acceptedNow = 0;
    if (areMoreComing) return false;
    this.#accepted = 0;
    return true;
  }
}
