// Splits a server-sent event stream into complete events. A server may stop in the middle of an event; what is forwarded to
// the caller has to end with a complete one, so that another server can continue the stream.

/** An event ends with an empty line. */
const eventTerminators = [Buffer.from('\n\n'), Buffer.from('\r\n\r\n')];
const maxTerminatorBytes = 4;
const lineEnd = /\r?\n/;
const betweenEvents = /(?:\r?\n){2}/;

/** Longest event in bytes; events of the published deployments have some hundred. */
const maxEventBytes = 64 * 1024;

/** Complete events. */
export interface Events {
  readonly bytes: Buffer;
  /** Ids of the events that have data, in order; undefined for an event without an id. */
  readonly ids: readonly (string | undefined)[];
}

/** Buffers the part of a stream after its last complete event. */
export class EventSplitter {
  #incomplete: Buffer = Buffer.alloc(0);

  private constructor() {
    // Instances come from `create`.
  }

  static create(): EventSplitter {
    return new EventSplitter();
  }

  /**
   * Takes bytes of the stream. Returns the events that are complete now, undefined if there are none, and `tooLong` if an
   * event exceeds `maxEventBytes`.
   */
  push(bytes: Uint8Array): Events | 'tooLong' | undefined {
    const all =
      this.#incomplete.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#incomplete, bytes]);
    const end = Math.max(
      ...eventTerminators.map((terminator) => endOfLastTerminator(all, terminator)),
    );
    if (end === 0) {
      if (all.length > maxEventBytes) return 'tooLong';
      this.#incomplete = all;
      return undefined;
    }
    const complete = all.subarray(0, end);
    this.#incomplete = all.subarray(end);
    return { bytes: complete, ids: idsOf(complete) };
  }

  /** Whether the bytes so far end in the middle of an event. */
  get isWithinEvent(): boolean {
    return this.#incomplete.length > 0;
  }
}

/** The end of a stream, as much of it as `isBetweenEvents` needs, after `bytes` have been added. */
export function lastBytes(tail: Uint8Array, bytes: Uint8Array): Buffer {
  return Buffer.concat([tail, bytes.subarray(-maxTerminatorBytes)]).subarray(-maxTerminatorBytes);
}

/** Whether a stream with this end stops between two events; it does if it is empty. */
export function isBetweenEvents(tail: Buffer): boolean {
  const text = tail.toString('latin1');
  return text === '' || eventTerminators.some((terminator) => text.endsWith(terminator.toString()));
}

/** Offset at which the last `terminator` ends; 0 if there is none. */
function endOfLastTerminator(bytes: Buffer, terminator: Buffer): number {
  const start = bytes.lastIndexOf(terminator);
  return start < 0 ? 0 : start + terminator.length;
}

function idsOf(events: Buffer): readonly (string | undefined)[] {
  return events
    .toString('latin1')
    .split(betweenEvents)
    .map((event) => event.split(lineEnd))
    .filter((lines) => lines.some((line) => line.startsWith('data')))
    .map((lines) =>
      lines
        .find((line) => line.startsWith('id:'))
        ?.slice('id:'.length)
        .trim(),
    );
}
