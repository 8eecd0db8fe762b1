// The answer to one request, made of the runs of it at servers. Whatever is handed on belongs to one run from its head to
// its end; a further run gets a place in the answer only if nothing was handed on, or if it continues a stream of events.

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

/** Pieces of a held answer that are joined into one, so that a piece of a few bytes does not take its own memory. */
const joinedPieces = 64;

/** What becomes of bytes that were taken. */
export type Taken =
  | { readonly kind: 'handedOn' | 'held' }
  /** They are not the rest of the answer; nothing of them was handed on. */
  | { readonly kind: 'unusable'; readonly detail: string };

/** The part of one run in an answer. */
export interface RunAnswer {
  /** Takes bytes of the body; resolves when the caller has room for more, or has left. */
  take(bytes: Uint8Array): Promise<Taken>;
  /** The run's answer has ended; so does the caller's, unless the run stopped in the middle of an event. */
  end(): Taken;
}

/** The answer to one request. */
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

  /** Id of the last event that the caller got in this answer. */
  get lastEvent(): string | undefined {
    return this.#handedOn.kind === 'events' ? this.#handedOn.lastEvent : undefined;
  }

  /** Whether a further run may bring the answer, or the rest of it. */
  get isContinuable(): boolean {
    return canResume(this.#handedOn);
  }

  /** A place for the answer of a run with this head; undefined if it cannot continue what was handed on. */
  nextRun(head: ResponseHead): RunAnswer | undefined {
    if (!this.isContinuable) return undefined;
    const isFirst = this.#handedOn.kind === 'nothing';
    if (!isFirst && (head.status !== 200 || !isEventStream(head))) return undefined;
    const { route } = this;
    switch (route.kind) {
      case 'idempotent':
      case 'nonIdempotent':
        return this.#heldRun(head);
      case 'streaming':
        if (!isEventStream(head)) return this.#heldRun(head);
        return route.canResume ? this.#eventRun(head) : this.#directRun(head);
    }
  }

  /** An answer that is held until it is whole, within bounds. */
  #heldRun(head: ResponseHead): RunAnswer {
    const direct = this.#directRun(head);
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

  /** An answer that is handed on as it comes. */
  #directRun(head: ResponseHead): RunAnswer {
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

  /** A stream that is handed on by whole events. */
  #eventRun(runHead: ResponseHead): RunAnswer {
    const { response } = this;
    // The length that a run declares is not that of an answer that another run may continue.
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
