// Assembles the response to one request from its runs at servers. All that is forwarded belongs to one run from its head to
// its end; a further run is used only if nothing was forwarded yet, or if it continues an event stream.

import {
  ResponseBuffering,
  canResume,
  isNextEvent,
  type RelayProgress,
  type Route,
} from '@catkinwheel/coordination/routing';
import type { ResponseHead } from '@catkinwheel/protocol';
import type { Clock } from '@catkinwheel/state';
import type { CallerResponse } from './callerResponse.js';
import { EventSplitter, isBetweenEvents, lastBytes, type Events } from './eventSplitter.js';

/** Number of buffered pieces that are joined into one, since a piece of a few bytes has a large memory overhead. */
const maxBufferedPieces = 64;

/** What happened to bytes of a run. */
export type TakeResult =
  /** They were forwarded, or buffered. */
  | { readonly kind: 'handedOn' | 'held' }
  /** They do not continue the response; none of them was forwarded. */
  | { readonly kind: 'unusable'; readonly detail: string };

/** Takes the response of one run. */
export interface RunResponse {
  /** Takes bytes of the body; resolves when the caller's connection can take more, or the caller has left. */
  take(bytes: Uint8Array): Promise<TakeResult>;
  /** The run's response has ended. Ends the caller's response unless the run stopped in the middle of an event. */
  end(): TakeResult;
}

/** The response to one request. */
export class ResponseAssembler {
  #progress: RelayProgress = { kind: 'nothing' };

  private constructor(
    private readonly clock: Clock,
    private readonly response: CallerResponse,
    private readonly route: Route,
  ) {}

  static create(clock: Clock, response: CallerResponse, route: Route): ResponseAssembler {
    return new ResponseAssembler(clock, response, route);
  }

  /** Id of the last event that was forwarded to the caller. */
  get lastEvent(): string | undefined {
    return this.#progress.kind === 'events' ? this.#progress.lastEvent : undefined;
  }

  /** Whether a further run may give the response, or the rest of it. */
  get isContinuable(): boolean {
    return canResume(this.#progress);
  }

  /** Begins a run whose response has this head; undefined if it cannot continue what was forwarded. */
  startRun(head: ResponseHead): RunResponse | undefined {
    if (!this.isContinuable) return undefined;
    const isFirst = this.#progress.kind === 'nothing';
    if (!isFirst && (head.status !== 200 || !isEventStream(head))) return undefined;
    const { route } = this;
    switch (route.kind) {
      case 'idempotent':
      case 'nonIdempotent':
        return this.#bufferedRun(head);
      case 'streaming':
        if (!isEventStream(head)) return this.#bufferedRun(head);
        return route.canResume ? this.#eventStreamRun(head) : this.#unresumableRun(head);
    }
  }

  /** A response that is buffered until it is complete; one that is too long or too slow is forwarded as it arrives. */
  #bufferedRun(head: ResponseHead): RunResponse {
    const unbuffered = this.#unbufferedRun(head);
    const buffering = ResponseBuffering.create(this.clock);
    let buffered: readonly Uint8Array[] = [];
    return {
      take: async (bytes) => {
        buffered =
          buffered.length < maxBufferedPieces
            ? [...buffered, bytes]
            : [Buffer.concat([...buffered, bytes])];
        if (buffering.shouldBuffer(bytes.byteLength)) return { kind: 'held' };
        const all = Buffer.concat(buffered);
        buffered = [];
        return unbuffered.take(all);
      },
      end: () => {
        this.#progress = { kind: 'plain' };
        this.response.open(head);
        this.response.end(Buffer.concat(buffered));
        return { kind: 'handedOn' };
      },
    };
  }

  /** A response that is forwarded as it arrives. */
  #unbufferedRun(head: ResponseHead): RunResponse {
    const { response } = this;
    return {
      take: async (bytes) => {
        this.#progress = { kind: 'plain' };
        response.open(head);
        await response.write(bytes);
        return { kind: 'handedOn' };
      },
      end: () => {
        this.#progress = { kind: 'plain' };
        response.open(head);
        response.end();
        return { kind: 'handedOn' };
      },
    };
  }

  /** An event stream that no other run can continue: it is forwarded as it arrives, and broken off if it ends in an event. */
  #unresumableRun(head: ResponseHead): RunResponse {
    const unbuffered = this.#unbufferedRun(head);
    let tail: Buffer = Buffer.alloc(0);
    return {
      take: (bytes) => {
        tail = lastBytes(tail, bytes);
        return unbuffered.take(bytes);
      },
      end: () =>
        isBetweenEvents(tail)
          ? unbuffered.end()
          : { kind: 'unusable', detail: 'the end within an event' },
    };
  }

  /** An event stream that is forwarded in complete events. */
  #eventStreamRun(runHead: ResponseHead): RunResponse {
    const { response } = this;
    // The content length of one run is not that of a response which another run may continue.
    const head = withoutLength(runHead);
    const stream = EventSplitter.create();
    let isContinuation = this.#progress.kind === 'events';
    return {
      take: async (bytes) => {
        const events = stream.push(bytes);
        if (events === 'tooLong') return { kind: 'unusable', detail: 'an event without end' };
        if (events === undefined) return { kind: 'held' };
        if (isContinuation && events.ids.length > 0) {
          if (!isNextEvent(this.lastEvent, events.ids[0]))
            return { kind: 'unusable', detail: 'a stream that goes on at another event' };
          isContinuation = false;
        }
        this.#recordEvents(events);
        response.open(head);
        await response.write(events.bytes);
        return { kind: 'handedOn' };
      },
      end: () => {
        if (stream.isWithinEvent) return { kind: 'unusable', detail: 'the end within an event' };
        this.#progress = { kind: 'plain' };
        response.open(head);
        response.end();
        return { kind: 'handedOn' };
      },
    };
  }

  #recordEvents({ ids }: Events): void {
    const lastEvent = ids.length > 0 ? ids.at(-1) : this.lastEvent;
    this.#progress = { kind: 'events', lastEvent };
  }
}

function isEventStream({ headers }: ResponseHead): boolean {
  return String(headers['content-type'] ?? '').startsWith('text/event-stream');
}

function withoutLength(head: ResponseHead): ResponseHead {
  const fields = Object.entries(head.headers).filter(([name]) => name !== 'content-length');
  return { ...head, headers: Object.fromEntries(fields) };
}
