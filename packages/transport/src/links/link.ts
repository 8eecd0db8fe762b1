// An outgoing link: keeps one connection to one peer open, and sends queued messages over it.

import { protocolVersion, type Message } from '@catkinwheel/protocol';
import { Clock, type Milliseconds, type Router, type RouterName } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';
import { Connection } from './connection.js';
import type { RefusalReason, HelloResponse } from './procedures.js';
import type { Counters, Traffic } from './traffic.js';

/** An encoded message in the queue of a link. */
export interface QueuedMessage {
  readonly kind: Message['kind'];
  readonly text: string;
  readonly bytes: number;
  readonly queuedAt: Milliseconds;
}

/** Records a change of state. */
export interface EventLog {
  record(event: string, fields: Readonly<Record<string, unknown>>): void;
}

/** What all links of a router share. */
export interface LinkContext {
  readonly self: Router;
  readonly secret: string;
  readonly traffic: Traffic;
  readonly metrics: Counters;
  readonly eventLog: EventLog;
  peerIdentified(router: Router): void;
}

/** Time without an acknowledgement after which a connection counts as silent and is replaced. */
const ackTimeout: Milliseconds = 1500;
const ackCheckPeriod: Milliseconds = 100;
const connectTimeout: Milliseconds = 1000;
const minBackoff: Milliseconds = 50;
const maxBackoff: Milliseconds = 1000;
/**
 * Delay before the next attempt to connect to a peer with another secret, version or name; it may
 * be replaced.
 */
const refusedBackoff: Milliseconds = 5000;

/** Limits of the queue for a peer that does not accept messages. */
const maxQueuedMessages = 10_000;
const maxQueuedBytes = 4 * 1024 * 1024;
/** Maximum size of a batch, well below the largest frame that peers accept. */
const maxBatchBytes = 1024 * 1024;
/** Size of the socket's write buffer above which further batches wait. */
const maxBufferedBytes = 4 * 1024 * 1024;
/**
 * Age above which a queued message is dropped: newer messages supersede it, and a permit granted
 * earlier may not be used any more. Releases are kept at any age, since otherwise their permits
 * would stay occupied.
 */
const maxQueueTime: Milliseconds = 1000;

/**
 * The link to one peer. Messages are sent in order. If the connection fails, messages other than
 * releases may be lost.
 */
export class Link {
  readonly #context: LinkContext;
  readonly #clock = Clock.system();
  readonly #end = new AbortController();
  #queue: QueuedMessage[] = [];
  #queuedBytes = 0;
  #scheduled = false;
  #connection: Connection | undefined;
  /** Releases in batches that are not acknowledged; they are sent again on the next connection. */
  #unacknowledged = new Set<readonly QueuedMessage[]>();

  private constructor(
    readonly peer: RouterName,
    readonly address: string,
    context: LinkContext,
  ) {
    this.#context = context;
  }

  /** A link to `peer` at `address` (`host:port`); `run` connects it. */
  static create(peer: RouterName, address: string, context: LinkContext): Link {
    return new Link(peer, address, context);
  }

  /** The established connection; undefined while there is none. */
  get connection(): Connection | undefined {
    return this.#connection;
  }

  /** Queues a message. The oldest ones are dropped if the queue is full. */
  send(message: QueuedMessage): void {
    this.#queue.push(message);
    this.#queuedBytes += message.bytes;
    while (this.#queue.length > maxQueuedMessages || this.#queuedBytes > maxQueuedBytes) {
      const oldest = this.#queue.shift();
      if (oldest === undefined) break;
      this.#queuedBytes -= oldest.bytes;
      this.#drop(oldest);
    }
    this.#schedule();
  }

  /** Connects, and reconnects after failures, until `close`. */
  async run(): Promise<void> {
    const { signal } = this.#end;
    let backoff = minBackoff;
    while (!signal.aborted) {
      const opened = await handshake(this.address, this.#context);
      if (opened.isOk()) {
        const { connection, router } = opened.value;
        if (router.name === this.peer) {
          backoff = minBackoff;
          this.#context.peerIdentified(router);
          await this.#serve(connection);
        } else {
          this.#context.metrics.count('peer.refused', {
            reason: 'identity' satisfies RefusalReason,
          });
          connection.terminate();
          backoff = refusedBackoff;
        }
      } else if (opened.error.refused) {
        backoff = refusedBackoff;
      }
      await this.#clock.sleep(backoff * (0.5 + Math.random()), signal);
      backoff = Math.min(Math.max(backoff * 2, minBackoff), maxBackoff);
    }
  }

  /** Closes the connection for good; queued messages are lost. */
  close(): void {
    this.#end.abort();
    this.#connection?.terminate();
  }

  /** Sends over an established connection until it closes or its acknowledgements time out. */
  async #serve(connection: Connection): Promise<void> {
    const { metrics, eventLog } = this.#context;
    this.#connection = connection;
    eventLog.record('link open', { peer: this.peer });
    metrics.count('peer.connected');
    this.#requeue();
    this.#schedule();
    const closed = new AbortController();
    void connection.whenClosed().then(() => {
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
      eventLog.record('link silent', { peer: this.peer });
      connection.terminate();
    }
    this.#connection = undefined;
    eventLog.record('link closed', { peer: this.peer });
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
      connection.buffered < maxBufferedBytes
    ) {
      const batch = this.#takeBatch();
      if (batch.length > 0) void this.#deliver(connection, batch);
    }
  }

  #takeBatch(): readonly QueuedMessage[] {
    const now = this.#clock.now();
    const batch: QueuedMessage[] = [];
    let bytes = 0;
    let taken = 0;
    for (const message of this.#queue) {
      if (bytes > 0 && bytes + message.bytes > maxBatchBytes) break;
      taken += 1;
      this.#queuedBytes -= message.bytes;
      if (message.kind !== 'release' && now - message.queuedAt > maxQueueTime) {
        this.#drop(message);
        continue;
      }
      bytes += message.bytes;
      batch.push(message);
    }
    this.#queue = this.#queue.slice(taken);
    return batch;
  }

  async #deliver(connection: Connection, batch: readonly QueuedMessage[]): Promise<void> {
    for (const { kind, bytes } of batch) this.#context.traffic.message('out', kind, bytes);
    const releases = batch.filter(({ kind }) => kind === 'release');
    if (releases.length > 0) this.#unacknowledged.add(releases);
    try {
      await connection.client.deliver.mutate(batch.map(({ text }) => text));
      this.#unacknowledged.delete(releases);
    } catch (error) {
      if (!connection.isOpen) return;
      // The peer rejected a message of the batch; sending it again would not help.
      this.#unacknowledged.delete(releases);
      this.#context.metrics.count('peer.rejected');
      const detail = error instanceof Error ? error.message : 'unknown';
      this.#context.eventLog.record('batch rejected', { peer: this.peer, detail });
    }
  }

  #requeue(): void {
    const releases = [...this.#unacknowledged].flat();
    this.#unacknowledged = new Set();
    this.#queue = [...releases, ...this.#queue];
    for (const { bytes } of releases) this.#queuedBytes += bytes;
  }

  #drop(message: QueuedMessage): void {
    this.#context.metrics.count('peer.dropped', { kind: message.kind });
  }
}

/** A connection whose peer has accepted the hello of this router, and the identity of the peer. */
export interface HandshakeResult {
  readonly connection: Connection;
  readonly router: Router;
}

/** Why the handshake with a peer failed; `refused` if the peer answered and refused this router. */
export interface HandshakeFailure {
  readonly refused: boolean;
  readonly detail: string;
}

/** Connects to `address`, and exchanges identities with the peer. */
export async function handshake(
  address: string,
  context: LinkContext,
): Promise<Result<HandshakeResult, HandshakeFailure>> {
  const opened = await Connection.open(address, connectTimeout, context.traffic);
  if (opened.isErr()) return err({ refused: false, detail: opened.error });
  const connection = opened.value;
  const timer = setTimeout(() => {
    connection.terminate();
  }, ackTimeout);
  const { secret, self } = context;
  try {
    const hello = { version: protocolVersion, secret, router: self };
    const welcome: HelloResponse = await connection.client.hello.mutate(hello);
    if (welcome.version === protocolVersion) return ok({ connection, router: welcome.router });
    connection.terminate();
    return err({ refused: true, detail: `peer has protocol version ${welcome.version}` });
  } catch (error) {
    const refused = connection.isOpen;
    connection.terminate();
    const detail = error instanceof Error ? error.message : 'unknown';
    if (refused) {
      context.metrics.count('peer.refusedBy');
      context.eventLog.record('refused by peer', { address, detail });
    }
    return err({ refused, detail });
  } finally {
    clearTimeout(timer);
  }
}
