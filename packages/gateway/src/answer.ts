// The answer to one request, made of the runs of it at servers. Whatever is handed on belongs to one run from its head to
// its end; a further run gets a place in the answer only if nothing was handed on, or if it continues a stream of events.

import { Hold, isContinuable, type HandedOn, type Route } from '@catkinwheel/coordination/routing';
import type { Head } from '@catkinwheel/protocol';
import type { Clock } from '@catkinwheel/state';
import type { CallerResponse } from './callerResponse.js';
import { EventStream } from './eventStream.js';

/** How answers of a route are handed on. */
type Shape =
  /** Held until they are whole, within bounds. */
  | 'plain'
  /** As they come, by one run only. */
  | 'stream'
  /** By whole events, which another run may continue. */
  | 'events';

/** What becomes of bytes that were taken. */
export type Taken = 'handedOn' | 'held' | 'tooLong';

/** The part of one run in an answer. */
export interface RunAnswer {
  /** Takes bytes of the body; resolves when the caller has room for more, or has left. */
  take(head: Head, bytes: Uint8Array): Promise<Taken>;
  /** The run's answer is whole; so is the caller's then. */
  end(head: Head): void;
}

/** The answer to one request. */
export class Answer {
  readonly #shape: Shape;
  #handedOn: HandedOn = { kind: 'nothing' };

  private constructor(
    private readonly clock: Clock,
    private readonly response: CallerResponse,
    route: Route,
  ) {
    this.#shape = shapeOf(route);
  }

  static create(clock: Clock, response: CallerResponse, route: Route): Answer {
    return new Answer(clock, response, route);
  }

  /** Id of the last event that the caller got in this answer. */
  get lastEvent(): string | undefined {
    return this.#handedOn.kind === 'events' ? this.#handedOn.lastEvent : undefined;
  }

  /** Whether a further run may bring the answer, or the rest of it. */
  get isContinuable(): boolean {
    return isContinuable(this.#handedOn);
  }

  /** A place for the answer of a further run; undefined if what was handed on belongs to another one. */
  nextRun(): RunAnswer | undefined {
    if (!this.isContinuable) return undefined;
    switch (this.#shape) {
      case 'plain':
        return this.#plainRun(true);
      case 'stream':
        return this.#plainRun(false);
      case 'events':
        return this.#eventRun();
    }
  }

  #plainRun(isHeld: boolean): RunAnswer {
    const { clock, response } = this;
    let hold: Hold | undefined;
    const held: Uint8Array[] = [];
    return {
      take: async (head, bytes) => {
        held.push(bytes);
        hold ??= Hold.create(clock);
        if (isHeld && hold.keeps(bytes.byteLength)) return 'held';
        this.#handedOn = { kind: 'plain' };
        response.open(head);
        await response.write(Buffer.concat(held.splice(0)));
        return 'handedOn';
      },
      end: (head) => {
        const isWhole = this.#handedOn.kind === 'nothing';
        this.#handedOn = { kind: 'plain' };
        if (isWhole) response.whole(head, Buffer.concat(held));
        else response.end(Buffer.concat(held));
      },
    };
  }

  #eventRun(): RunAnswer {
    const { response } = this;
    const events = EventStream.create();
    return {
      take: async (head, bytes) => {
        const whole = events.push(bytes);
        if (whole === 'tooLong') return 'tooLong';
        if (whole === undefined) return 'held';
        this.#handedOn = { kind: 'events', lastEvent: whole.lastId ?? this.lastEvent };
        // The length that a run declares is not that of an answer that another run may continue.
        response.open(withoutLength(head));
        await response.write(whole.bytes);
        return 'handedOn';
      },
      end: (head) => {
        response.open(withoutLength(head));
        response.end(events.rest());
        this.#handedOn = { kind: 'plain' };
      },
    };
  }
}

function shapeOf(route: Route): Shape {
  switch (route.kind) {
    case 'idempotent':
    case 'nonIdempotent':
      return 'plain';
    case 'streaming':
      return route.canResume ? 'events' : 'stream';
  }
}

function withoutLength(head: Head): Head {
  const fields = Object.entries(head.headers).filter(([name]) => name !== 'content-length');
  return { ...head, headers: Object.fromEntries(fields) };
}
