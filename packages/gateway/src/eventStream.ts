// Splits an event stream at the ends of its events. A server may stop in the middle of an event; what
// reaches the caller has to end with a whole one, so that the stream can go on elsewhere.

/** An event ends with an empty line. */
const eventEnd = Buffer.from('\n\n');

/** Longest event in bytes; those of the published deployments have some hundred. */
const eventLimit = 64 * 1024;

/** Whole events and the id of the last one. */
export interface Events {
  readonly bytes: Buffer;
  /** Undefined if none of the events has an id. */
  readonly lastId: string | undefined;
}

/** Holds back the part of a stream after its last whole event. */
export class EventStream {
  #rest: Buffer = Buffer.alloc(0);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): EventStream {
    return new EventStream();
  }

  /**
   * Takes bytes of the stream; returns the events that are whole now, undefined if there are none, and `tooLong` if
   * an event has no end within its limit.
   */
  push(bytes: Uint8Array): Events | 'tooLong' | undefined {
    const all = this.#rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#rest, bytes]);
    const end = all.lastIndexOf(eventEnd);
    if (end < 0) {
      if (all.length > eventLimit) return 'tooLong';
      this.#rest = all;
      return undefined;
    }
    const whole = all.subarray(0, end + eventEnd.length);
    this.#rest = all.subarray(whole.length);
    return { bytes: whole, lastId: lastIdOf(whole) };
  }

  /** Bytes after the last whole event. */
  rest(): Buffer {
    return this.#rest;
  }
}

function lastIdOf(events: Buffer): string | undefined {
  const text = events.toString('latin1');
  const start = Math.max(text.lastIndexOf('\nid:'), text.startsWith('id:') ? -1 : -2);
  if (start < -1) return undefined;
  const end = text.indexOf('\n', start + 1);
  return text.slice(start + '\nid:'.length, end).trim();
}
