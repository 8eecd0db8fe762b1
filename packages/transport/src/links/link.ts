// A link keeps one connection to one peer alive and sends queued messages over it.

import { protocolVersion, type Message } from '@catkinwheel/protocol';
import { Clock, type Milliseconds, type Router, type RouterName } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import { Connection } from './connection.js';
import type { Refusal, Welcome } from './procedures.js';
import type { Counters, Traffic } from './traffic.js';

/** A message ready to send. */
export interface Line {
  readonly kind: Message['kind'];
  readonly text: string;
  readonly bytes: number;
  readonly queued: Milliseconds;
}

/** Records a change of state. */
export interface EventLog {
  record(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** What all links of a process share. */
export interface LinkHost {
  readonly self: Router;
  readonly secret: string;
  readonly traffic: Traffic;
  readonly metrics: Counters;
  readonly eventLog: EventLog;
  met(router: Router): void;
}

/** Time without an acknowledgement after which a connection counts as silent. */
const ackTimeout: Milliseconds = 1500;
const ackCheckPeriod: Milliseconds = 100;
const connectTimeout: Milliseconds = 1000;
const shortestBackoff: Milliseconds = 50;
const longestBackoff: Milliseconds = 1000;
/** A peer with another secret or version is tried again at this period, since it may be replaced. */
const refusedBackoff: Milliseconds = 5000;

/** Messages a link holds for a peer that does not take them. */
const largestQueue = 10_000;
const largestQueueBytes = 4 * 1024 * 1024;
/** Bytes of one batch, well below the largest frame that peers accept. */
const largestBatchBytes = 1024 * 1024;
/** Bytes in the socket above which further batches wait. */
const largestBuffered = 4 * 1024 * 1024;
/**
 * Age above which a message is dropped: newer ones supersede it, and a permit granted earlier may not
 * be used any more. A release is kept, since its permit would stay occupied.
 */
const longestQueued: Milliseconds = 1000;

/** The connection to one peer. Messages are sent in order; those of a lost connection may be lost. */
export class Link {
  readonly #host: LinkHost;
  readonly #clock = Clock.system();
  readonly #end = new AbortController();
  #queue: Line[] = [];
  #queuedBytes = 0;
  #scheduled = false;
  #connection: Connection | undefined;
  /** Releases of batches without an acknowledgement; they are sent again on the next connection. */
  #unacknowledged = new Set<readonly Line[]>();

  private constructor(
    readonly peer: RouterName,
    readonly address: string,
    host: LinkHost,
  ) {
    this.#host = host;
  }

  /** A link to `peer` at `address` (`host:port`). It connects by `run`. */
  static create(peer: RouterName, address: string, host: LinkHost): Link {
    return new Link(peer, address, host);
  }

  /** The established connection; undefined while there is none. */
  get connection(): Connection | undefined {
    return this.#connection;
  }

  /** Queues a message; the oldest ones are dropped when the queue is full. */
  send(line: Line): void {
    this.#queue.push(line);
    this.#queuedBytes += line.bytes;
    while (this.#queue.length > largestQueue || this.#queuedBytes > largestQueueBytes) {
      const oldest = this.#queue.shift();
      if (oldest === undefined) break;
      this.#queuedBytes -= oldest.bytes;
      this.#drop(oldest);
    }
    this.#schedule();
  }

  /** Connects and reconnects until `close`. */
  async run(): Promise<void> {
    const { signal } = this.#end;
    let backoff = shortestBackoff;
    while (!signal.aborted) {
      const opened = await greeted(this.address, this.#host);
      if (opened.isOk()) {
        const { connection, router } = opened.value;
        if (router.name === this.peer) {
          backoff = shortestBackoff;
          this.#host.met(router);
          await this.#serve(connection);
        } else {
          this.#host.metrics.count('peer.refused', { reason: 'identity' satisfies Refusal });
          connection.terminate();
          backoff = refusedBackoff;
        }
      } else if (opened.error.refused) {
        backoff = refusedBackoff;
      }
      await this.#clock.sleep(backoff * (0.5 + Math.random()), signal);
      backoff = Math.min(Math.max(backoff * 2, shortestBackoff), longestBackoff);
    }
  }

  /** Closes the connection for good; queued messages are lost. */
  close(): void {
    this.#end.abort();
    this.#connection?.terminate();
  }

  /** Sends over an established connection until it closes or falls silent. */
  async #serve(connection: Connection): Promise<void> {
    const { metrics, eventLog: journal } = this.#host;
    this.#connection = connection;
    journal.record('link open', { peer: this.peer });
    metrics.count('peer.connected');
    this.#requeue();
    this.#schedule();
    const closed = new AbortController();
    void connection.closed().then(() => {
      closed.abort();
    });
    if (this.#end.signal.aborted) connection.terminate();
    for await (const now of this.#clock.every(ackCheckPeriod, closed.signal)) {
      const oldest = connection.oldestUnacknowledged;
      if (oldest === undefined || now - oldest < ackTimeout) {
        if (this.#queue.length > 0) this.#schedule();
        continue;
      }
      metrics.count('peer.silent');
      journal.record('link silent', { peer: this.peer });
      connection.terminate();
    }
    this.#connection = undefined;
    journal.record('link closed', { peer: this.peer });
  }

  #schedule(): void {
    if (this.#scheduled || this.#connection === undefined) return;
    this.#scheduled = true;
    setImmediate(() => {
      this.#scheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    const connection = this.#connection;
    while (
      this.#queue.length > 0 &&
      connection?.isOpen === true &&
      connection.buffered < largestBuffered
    ) {
      const batch = this.#takeBatch();
      if (batch.length > 0) void this.#deliver(connection, batch);
    }
  }

  #takeBatch(): readonly Line[] {
    const now = this.#clock.now();
    const batch: Line[] = [];
    let bytes = 0;
    let taken = 0;
    for (const line of this.#queue) {
      if (bytes > 0 && bytes + line.bytes > largestBatchBytes) break;
      taken += 1;
      this.#queuedBytes -= line.bytes;
      if (line.kind !== 'release' && now - line.queued > longestQueued) {
        this.#drop(line);
        continue;
      }
      bytes += line.bytes;
      batch.push(line);
    }
    this.#queue = this.#queue.slice(taken);
    return batch;
  }

  async #deliver(connection: Connection, batch: readonly Line[]): Promise<void> {
    for (const { kind, bytes } of batch) this.#host.traffic.message('out', kind, bytes);
    const releases = batch.filter(({ kind }) => kind === 'release');
    if (releases.length > 0) this.#unacknowledged.add(releases);
    try {
      await connection.client.deliver.mutate(batch.map(({ text }) => text));
      this.#unacknowledged.delete(releases);
    } catch (error) {
      if (!connection.isOpen) return;
      // The peer answered that it could not take a message; sending it again would not help.
      this.#unacknowledged.delete(releases);
      this.#host.metrics.count('peer.rejected');
      const detail = error instanceof Error ? error.message : 'unknown';
      this.#host.eventLog.record('batch rejected', { peer: this.peer, detail });
    }
  }

  #requeue(): void {
    const lost = [...this.#unacknowledged].flat();
    this.#unacknowledged = new Set();
    this.#queue = [...lost, ...this.#queue];
    for (const { bytes } of lost) this.#queuedBytes += bytes;
  }

  #drop(line: Line): void {
    this.#host.metrics.count('peer.dropped', { kind: line.kind });
  }
}

/** A connection whose peer has accepted this router. */
export interface Greeted {
  readonly connection: Connection;
  readonly router: Router;
}

/** Why a peer was not reached; `refused` if it answered and refused this router. */
export interface NotGreeted {
  readonly refused: boolean;
  readonly detail: string;
}

/** Connects to `address` and exchanges identities. */
export async function greeted(
  address: string,
  host: LinkHost,
): Promise<Result<Greeted, NotGreeted>> {
  const opened = await Connection.open(address, connectTimeout, host.traffic);
  if (opened.isErr()) return err({ refused: false, detail: opened.error });
  const connection = opened.value;
  const timer = setTimeout(() => {
    connection.terminate();
  }, ackTimeout);
  const { secret, self } = host;
  try {
    const hello = { version: protocolVersion, secret, router: self };
    const welcome: Welcome = await connection.client.hello.mutate(hello);
    if (welcome.version === protocolVersion) return ok({ connection, router: welcome.router });
    connection.terminate();
    return err({ refused: true, detail: `peer has protocol version ${welcome.version}` });
  } catch (error) {
    const refused = connection.isOpen;
    connection.terminate();
    const detail = error instanceof Error ? error.message : 'unknown';
    if (refused) {
      host.metrics.count('peer.refusedBy');
      host.eventLog.record('refused by peer', { address, detail });
    }
    return err({ refused, detail });
  } finally {
    clearTimeout(timer);
  }
}
