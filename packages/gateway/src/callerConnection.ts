// The requests on one connection of a caller. A caller may send further requests, or bytes that are none, while a response is
// due, so the connection is closed only when no request that was read whole is left without its response.

import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Milliseconds } from '@catkinwheel/state';

/** One connection of a caller. */
export class CallerConnection {
  /** Ids of the requests whose responses are not complete. */
  readonly #due = new Map<ServerResponse, string>();
  #requests = 0;
  #isCloseAnnounced = false;
  #isBroken = false;
  /** When its caller may come back after a refusal. */
  #returnAt: Milliseconds = 0;

  private constructor(
    private readonly socket: Socket,
    /** Number of the connection, counted from the start of this router. */
    readonly number: number,
    /** IP address of the router that handed the connection over; undefined if the caller connected to this one. */
    readonly via: string | undefined,
  ) {}

  static create(socket: Socket, number: number, via: string | undefined): CallerConnection {
    return new CallerConnection(socket, number, via);
  }

  /** Requests on the connection so far. */
  get requests(): number {
    return this.#requests;
  }

  /** Whether a response in progress has told the caller to send nothing more on the connection. */
  get isCloseAnnounced(): boolean {
    return this.#isCloseAnnounced;
  }

  /** Whether bytes came that cannot be read, so that no further request can. */
  get isBroken(): boolean {
    return this.#isBroken;
  }

  /** Ids of the requests whose responses are not complete, in their order. */
  get dueIds(): readonly string[] {
    return [...this.#due.values()];
  }

  /** Adds a request whose head was read. */
  add(id: string, response: ServerResponse): void {
    this.#requests += 1;
    this.#due.set(response, id);
    response.once('finish', () => {
      this.#due.delete(response);
      if (this.#isBroken && !this.#isAnswerDue) this.socket.destroySoon();
    });
  }

  /**
   * Records at `now` that a request is refused, whose caller may come back after `retryAfter`. If it has come back too early from the
   * refusal before, nothing more is read for up to `longest` once `response` is sent: refusing again and again on connections
   * that are kept would take the processor time of everybody.
   */
  recordRefusal(
    response: ServerResponse,
    now: Milliseconds,
    retryAfter: Milliseconds,
    longest: Milliseconds,
  ): void {
    const isEarly = now < this.#returnAt;
    this.#returnAt = now + retryAfter;
    if (!isEarly) return;
    const hold = (): void => {
      if (this.socket.destroyed || this.#due.size > 0 || !response.req.complete) return;
      this.socket.pause();
      setTimeout(() => this.socket.resume(), Math.min(retryAfter, longest)).unref();
    };
    response.once('finish', () => setImmediate(hold));
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

  /**
   * Handles bytes that cannot be read, a head that does not come in time, or the end of the socket. Closes the connection once the
   * requests that were read whole have their responses. If there is none, sends `refusal`, unless a response has begun, and
   * destroys it at once.
   */
  break(error: Error, refusal: string): void {
    const { socket } = this;
    this.#isBroken = true;
    if (this.#isAnswerDue && socket.writable) return;
    const hasBegun = [...this.#due.keys()].some(({ headersSent }) => headersSent);
    if (socket.writable && !hasBegun) socket.write(refusal);
    socket.destroy(error);
  }

  /** Whether a request that was read whole has no complete response. */
  get #isAnswerDue(): boolean {
    return [...this.#due.keys()].some(({ req }) => req.complete);
  }
}
