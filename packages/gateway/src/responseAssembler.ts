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
import { EventStream, type Events } from './eventStream.js';

/** Number of buffered pieces that are joined into one, since a piece of a few bytes has a large memory overhead. */
const joinedPieces = 64;

/** What happened to bytes of a run. */
export type Taken =
  | { readonly kind: 'handedOn' | 'held' }
  /** They do not continue the response; none of them was forwarded. */
  | { readonly kind: 'unusable'; readonly detail: string };

/** Takes the response of one run. */
export interface RunAnswer {
  /** Takes bytes of the body; resolves when the caller's connection can take more, or the caller has left. */
  take(bytes: Uint8Array): Promise<Taken>;
  /** The run's response has ended. Ends the caller's response unless the run stopped in the middle of an event. */
  end(): Taken;
}

/** The response to one request. */
export class ResponseAssembler {
  #handedOn: RelayProgress = { kind: 'nothing' };

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
    return this.#handedOn.kind === 'events' ? this.#handedOn.lastEvent : undefined;
  }

  /** Whether a further run may give the response, or the rest of it. */
  get isContinuable(): boolean {
    return canResume(this.#handedOn);
  }

  /** Begins a run whose response has this head; undefined if it cannot continue what was forwarded. */
  nextRun(head: ResponseHead): RunAnswer | undefined {
    if (!this.isContinuable) return undefined;
    const isFirst = this.#handedOn.kind === 'nothing';
    if (!isFirst && (head.status !== 200 || !isEventStream(head))) return undefined;
    const { route } = this;
    switch (route.kind) {
      case 'idempotent':
      case 'nonIdempotent':
        return this.#bufferedRun(head);
      case 'streaming':
        if (!isEventStream(head)) return this.#bufferedRun(head);
        return route.canResume ? this.#eventStreamRun(head) : this.#unbufferedRun(head);
    }
  }

  /** A response that is buffered until it is complete; one that is too long or too slow is forwarded as it arrives. */
  #bufferedRun(head: ResponseHead): RunAnswer {
    const direct = this.#unbufferedRun(head);
    const hold = ResponseBuffering.create(this.clock);
    let held: readonly Uint8Array[] = [];
    return {
      take: async (bytes) => {
        held = held.length < joinedPieces ? [...held, bytes] : [Buffer.concat([...held, bytes])];
        if (hold.shouldBuffer(bytes.byteLength)) return { kind: 'held' };
        const all = Buffer.concat(held);
        held = [];
        return direct.take(all);
      },
      end: () => {
        this.#handedOn = { kind: 'plain' };
        this.response.open(head);
        this.response.end(Buffer.concat(held));
        return { kind: 'handedOn' };
      },
    };
  }

  /** A response that is forwarded as it arrives. */
  #unbufferedRun(head: ResponseHead): RunAnswer {
    const { response } = this;
    return {
      take: async (bytes) => {
        this.#handedOn = { kind: 'plain' };
        response.open(head);
        await response.write(bytes);
        return { kind: 'handedOn' };
      },
      end: () => {
        this.#handedOn = { kind: 'plain' };
        response.open(head);
        response.end();
        return { kind: 'handedOn' };
      },
    };
  }

  /** An event stream that is forwarded in complete events. */
  #eventStreamRun(runHead: ResponseHead): RunAnswer {
    const { response } = this;
    // The content length of one run is not that of a response which another run may continue.
    const head = withoutLength(runHead);
    const stream = EventStream.create();
    let isContinuation = this.#handedOn.kind === 'events';
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
        this.#noteEvents(events);
        response.open(head);
        await response.write(events.bytes);
        return { kind: 'handedOn' };
      },
      end: () => {
        if (stream.isWithinEvent) return { kind: 'unusable', detail: 'the end within an event' };
        this.#handedOn = { kind: 'plain' };
        response.open(head);
        response.end();
        return { kind: 'handedOn' };
      },
    };
  }

  #noteEvents({ ids }: Events): void {
    const lastEvent = ids.length > 0 ? ids.at(-1) : this.lastEvent;
    this.#handedOn = { kind: 'events', lastEvent };
  }
}

function isEventStream({ headers }: ResponseHead): boolean {
  return String(headers['content-type'] ?? '').startsWith('text/event-stream');
}

function withoutLength(head: ResponseHead): ResponseHead {
  const fields = Object.entries(head.headers).filter(([name]) => name !== 'content-length');
  return { ...head, headers: Object.fromEntries(fields) };
}
