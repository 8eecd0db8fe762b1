// Counters of the control traffic, one of the figures by which the fleet is evaluated.

import type { Message } from '@catkinwheel/protocol';
import type { Socket } from 'node:net';

export type Direction = 'in' | 'out';

/**
 * A message kind, or `frame` for the overhead of links: envelopes, acknowledgements, other
 * procedures.
 */
export type TrafficKind = Message['kind'] | 'frame';

/** Traffic of one direction and kind since the start of the process. */
export interface TrafficCount {
  readonly direction: Direction;
  readonly kind: TrafficKind;
  readonly messages: number;
  /** Bytes of TCP payload. */
  readonly bytes: number;
}

/** Receives counter increments. */
export interface Counters {
  count(name: string, tags?: Readonly<Record<string, string>>, amount?: number): void;
}

interface TrafficCounter {
  readonly direction: Direction;
  readonly kind: TrafficKind;
  messages: number;
  bytes: number;
  reportedMessages: number;
  reportedBytes: number;
}

/** Bytes and messages by kind and direction over all links of a process. */
export class Traffic {
  readonly #counters = new Map<string, TrafficCounter>();
  readonly #sockets = new Set<Socket>();
  readonly #closedBytes: Record<Direction, number> = { in: 0, out: 0 };

  static create(): Traffic {
    return new Traffic();
  }

  /** Counts the bytes of a connection until it closes. */
  watch(socket: Socket): void {
    this.#sockets.add(socket);
    socket.once('close', () => {
      this.#sockets.delete(socket);
      this.#closedBytes.in += socket.bytesRead;
      this.#closedBytes.out += socket.bytesWritten;
    });
  }

  /** Counts one message of `bytes` size in its frame. */
  message(direction: Direction, kind: TrafficKind, bytes: number): void {
    const counter = this.#counter(direction, kind);
    counter.messages += 1;
    counter.bytes += bytes;
  }

  /** Totals since the start. */
  totals(): readonly TrafficCount[] {
    this.#updateFrameBytes('in');
    this.#updateFrameBytes('out');
    return [...this.#counters.values()].map(({ direction, kind, messages, bytes }) => ({
      direction,
      kind,
      messages,
      bytes,
    }));
  }

  /** Adds the traffic since the last call to the counters `peer.bytes` and `peer.messages`. */
  flush(counters: Counters): void {
    this.#updateFrameBytes('in');
    this.#updateFrameBytes('out');
    for (const counter of this.#counters.values()) {
      const tags = { direction: counter.direction, kind: counter.kind };
      const bytes = counter.bytes - counter.reportedBytes;
      const messages = counter.messages - counter.reportedMessages;
      if (bytes > 0) counters.count('peer.bytes', tags, bytes);
      if (messages > 0) counters.count('peer.messages', tags, messages);
      if (bytes > 0) counter.reportedBytes = counter.bytes;
      counter.reportedMessages = counter.messages;
    }
  }

  /** Sets the bytes of `frame` to those of the sockets less those of the counted messages. */
  #updateFrameBytes(direction: Direction): void {
    let total = this.#closedBytes[direction];
    for (const socket of this.#sockets) {
      total += direction === 'in' ? socket.bytesRead : socket.bytesWritten;
    }
    const frameCounter = this.#counter(direction, 'frame');
    for (const counter of this.#counters.values()) {
      if (counter.direction === direction && counter !== frameCounter) total -= counter.bytes;
    }
    frameCounter.bytes = Math.max(frameCounter.bytes, total);
  }

  #counter(direction: Direction, kind: TrafficKind): TrafficCounter {
    const key = `${direction} ${kind}`;
    const existing = this.#counters.get(key);
    if (existing !== undefined) return existing;
    const counter: TrafficCounter = {
      direction,
      kind,
      messages: 0,
      bytes: 0,
      reportedMessages: 0,
      reportedBytes: 0,
    };
    this.#counters.set(key, counter);
    return counter;
  }
}
