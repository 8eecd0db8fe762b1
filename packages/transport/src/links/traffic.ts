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

interface Tally {
  readonly direction: Direction;
  readonly kind: TrafficKind;
  messages: number;
  bytes: number;
  reportedMessages: number;
  reportedBytes: number;
}

/** Bytes and messages by kind and direction over all links of a process. */
export class Traffic {
  readonly #tallies = new Map<string, Tally>();
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
    const tally = this.#tally(direction, kind);
    tally.messages += 1;
    tally.bytes += bytes;
  }

  /** Totals since the start. */
  totals(): readonly TrafficCount[] {
    this.#settleFrames('in');
    this.#settleFrames('out');
    return [...this.#tallies.values()].map(({ direction, kind, messages, bytes }) => ({
      direction,
      kind,
      messages,
      bytes,
    }));
  }

  /** Adds the traffic since the last call to the counters `peer.bytes` and `peer.messages`. */
  flush(counters: Counters): void {
    this.#settleFrames('in');
    this.#settleFrames('out');
    for (const tally of this.#tallies.values()) {
      const tags = { direction: tally.direction, kind: tally.kind };
      const bytes = tally.bytes - tally.reportedBytes;
      const messages = tally.messages - tally.reportedMessages;
      if (bytes > 0) counters.count('peer.bytes', tags, bytes);
      if (messages > 0) counters.count('peer.messages', tags, messages);
      if (bytes > 0) tally.reportedBytes = tally.bytes;
      tally.reportedMessages = tally.messages;
    }
  }

  /** Sets the bytes of `frame` to those of the sockets less those of the counted messages. */
  #settleFrames(direction: Direction): void {
    let total = this.#closedBytes[direction];
    for (const socket of this.#sockets) {
      total += direction === 'in' ? socket.bytesRead : socket.bytesWritten;
    }
    const frame = this.#tally(direction, 'frame');
    for (const tally of this.#tallies.values()) {
      if (tally.direction === direction && tally !== frame) total -= tally.bytes;
    }
    frame.bytes = Math.max(frame.bytes, total);
  }

  #tally(direction: Direction, kind: TrafficKind): Tally {
    const key = `${direction} ${kind}`;
    const known = this.#tallies.get(key);
    if (known !== undefined) return known;
    const tally: Tally = {
      direction,
      kind,
      messages: 0,
      bytes: 0,
      reportedMessages: 0,
      reportedBytes: 0,
    };
    this.#tallies.set(key, tally);
    return tally;
  }
}
