// The requests on one connection of a caller. A caller may send further requests while a response is due, so the connection is
// closed only when no request that was read is left without its response.

import type { ServerResponse } from 'node:http';

/** One connection of a caller. */
export class CallerConnection {
  /** Responses that are not complete. */
  readonly #due = new Set<ServerResponse>();
  #requests = 0;
  #isCloseAnnounced = false;

  private constructor(
    /** Number of the connection, counted from the start of this router. */
    readonly number: number,
    /** IP address of the router that handed the connection over; undefined if the caller connected to this one. */
    readonly via: string | undefined,
  ) {}

  static create(number: number, via: string | undefined): CallerConnection {
    return new CallerConnection(number, via);
  }

  /** Requests on the connection so far. */
  get requests(): number {
    return this.#requests;
  }

  /** Whether a response in progress has told the caller to send nothing more on the connection. */
  get isCloseAnnounced(): boolean {
    return this.#isCloseAnnounced;
  }

  /** Adds a request whose head was read. */
  add(response: ServerResponse): void {
    this.#requests += 1;
    this.#due.add(response);
    response.once('finish', () => {
      this.#due.delete(response);
    });
  }

  /**
   * Whether the response, whose head is about to be sent, may announce the close of the connection: no other one is due. A response
   * that waits for an earlier one may not, since requests can be read behind it until its head is sent.
   */
  announceClose(): boolean {
    if (this.#due.size > 1) return false;
    this.#isCloseAnnounced = true;
    return true;
  }
}
