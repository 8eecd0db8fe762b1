// Holds requests that have just been read until it is known whether their callers are still there. Load pattern: connections wait
// to be accepted, or a router stands still, until callers have left. A request and the end of its connection are read in two turns
// of the event loop, so that every caller seems to be connected in the turn that reads its request.

/** Requests by the turn in which they were read. */
export class Arrivals<Arrival> {
  /** Read in the present turn. */
  #present: readonly Arrival[] = [];
  /** Read in the turn before. */
  #before: readonly Arrival[] = [];

  private constructor() {
    // Instances come from `create`.
  }

  static create<Arrival>(): Arrivals<Arrival> {
    return new Arrivals();
  }

  get length(): number {
    return this.#present.length + this.#before.length;
  }

  add(arrival: Arrival): void {
    this.#present = [...this.#present, arrival];
  }

  /** Ends a turn. Returns the requests read in the turn before, whose connections have been read once more since. */
  endTurn(): readonly Arrival[] {
    const checked = this.#before;
    this.#before = this.#present;
    this.#present = [];
    return checked;
  }
}
