// All links of one router: the server for incoming connections of its peers, and one outgoing link
// to each peer.

import {
  catalogueUpdateCodec,
  commitCodec,
  decode,
  messageCodec,
  rowsCodec,
  type CatalogueUpdate,
  type Commit,
  type Message,
  type PlatformFailure,
  type Row,
  type Transaction,
} from '@catkinwheel/protocol';
import {
  Clock,
  type Milliseconds,
  type Revision,
  type Router,
  type RouterName,
} from '@catkinwheel/state';
import { err, errAsync, ResultAsync, type Result } from 'neverthrow';
import type { Codec } from 'purify-ts';
import type { Connection } from './connection.js';
import { handshake, Link, type QueuedMessage, type LinkContext, type EventLog } from './link.js';
import { PeerServer } from './peerServer.js';
import type { PeerHandlers, RelayResult } from './procedures.js';
import { Traffic, type Counters, type TrafficCount } from './traffic.js';

export interface LinksOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 lets the system choose one. */
  readonly port: number;
  /** Shared secret of all routers of the fleet. */
  readonly secret: string;
  /** Addresses (`host:port`) at which routers are looked for until links to them exist. */
  readonly seeds: readonly string[];
  readonly metrics: Counters;
  readonly eventLog: EventLog;
}

const seedPeriod: Milliseconds = 1000;
const flushPeriod: Milliseconds = 1000;

/**
 * The links to all peers: sends messages, reads catalogues of peers, and relays table requests
 * through peers.
 */
export class Links {
  readonly #options: LinksOptions;
  readonly #server: PeerServer;
  readonly #traffic: Traffic;
  readonly #links = new Map<RouterName, Link>();
  #context: LinkContext | undefined;
  #handlers: PeerHandlers | undefined;
  #lastEncoded: { readonly message: Message; readonly encoded: QueuedMessage } | undefined;

  private constructor(options: LinksOptions, server: PeerServer, traffic: Traffic) {
    this.#options = options;
    this.#server = server;
    this.#traffic = traffic;
  }

  /** Listens. Peers that connect before `start` are disconnected, and try again. */
  static listen(options: LinksOptions): ResultAsync<Links, string> {
    const traffic = Traffic.create();
    const { host, port, secret, metrics, eventLog } = options;
    return PeerServer.listen({ host, port, secret, metrics, eventLog, traffic }).map(
      (server) => new Links(options, server, traffic),
    );
  }

  /** The address that peers connect to, `host:port`. */
  get address(): string {
    return this.#server.address;
  }

  /**
   * Accepts peers with the identity `self`, and looks for peers at the seeds, until `signal`
   * aborts.
   */
  async start(self: Router, handlers: PeerHandlers, signal: AbortSignal): Promise<void> {
    const { secret, metrics, eventLog } = this.#options;
    const safeHandlers: PeerHandlers = {
      ...handlers,
      deliver: (from, message) => {
        this.#deliver(handlers, from, message);
      },
    };
    this.#handlers = safeHandlers;
    this.#context = {
      self,
      secret,
      traffic: this.#traffic,
      metrics,
      eventLog,
      peerIdentified: (router) => {
        handlers.peerIdentified(router);
      },
    };
    this.#server.start(self, safeHandlers);
    await Promise.all([this.#discover(this.#context, signal), this.#report(signal)]);
    this.close();
  }

  /**
   * Opens and closes links so that there is one to each of these routers, except to this router
   * itself.
   */
  connect(routers: readonly Router[]): void {
    const context = this.#context;
    if (context === undefined) return;
    const addresses = new Map(routers.map((router) => [router.name, router.peerAddress]));
    addresses.delete(context.self.name);
    for (const [name, link] of this.#links) {
      if (addresses.get(name) === link.address) continue;
      link.close();
      this.#links.delete(name);
    }
    for (const [name, address] of addresses) {
      if (this.#links.has(name)) continue;
      const link = Link.create(name, address, context);
      this.#links.set(name, link);
      void link.run();
    }
  }

  /** Queues a message. One to this router itself is delivered in a later microtask. */
  send(to: RouterName, message: Message): void {
    if (to === this.#context?.self.name) {
      queueMicrotask(() => {
        this.#handlers?.deliver(to, message);
      });
      return;
    }
    const link = this.#links.get(to);
    if (link === undefined) this.#options.metrics.count('peer.dropped', { kind: message.kind });
    else link.send(this.#encode(message));
  }

  /** The catalogue of a peer, as the changes after `revision` or as a whole. */
  catalogueSince(router: RouterName, revision: Revision): ResultAsync<CatalogueUpdate, string> {
    return this.#request(router, (connection) =>
      connection.client.catalogueSince.query(revision),
    ).andThen((update) =>
      decode(catalogueUpdateCodec, update).mapErr((error) => `catalogue of ${router}: ${error}`),
    );
  }

  /** Runs a table transaction through a peer. */
  transact(router: RouterName, transaction: Transaction): ResultAsync<Commit, PlatformFailure> {
    return this.#relayThrough(router, 'unknown', commitCodec, (connection) =>
      connection.client.relay.mutate(transaction),
    );
  }

  /** Reads rows from the platform through a peer. */
  rows(router: RouterName, prefix: string): ResultAsync<readonly Row[], PlatformFailure> {
    return this.#relayThrough(router, 'unavailable', rowsCodec, (connection) =>
      connection.client.relayRows.query(prefix),
    );
  }

  /** The status that a peer reports about itself. */
  status(router: RouterName): ResultAsync<unknown, string> {
    return this.#request(router, (connection) => connection.client.status.query());
  }

  /** Traffic since the start of the process. */
  traffic(): readonly TrafficCount[] {
    return this.#traffic.totals();
  }

  /** Closes every connection and the listening socket. */
  close(): void {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
    this.#server.close();
  }

  /** An exception while one message is handled must not lose the rest of its batch. */
  #deliver(handlers: PeerHandlers, from: RouterName, message: Message): void {
    try {
      handlers.deliver(from, message);
    } catch (error) {
      const { kind } = message;
      this.#options.metrics.count('peer.handlerFailed', { kind });
      const detail = error instanceof Error ? (error.stack ?? error.message) : 'unknown';
      this.#options.eventLog.record('message handler failed', { from, kind, detail });
    }
  }

  #request<T>(
    router: RouterName,
    request: (connection: Connection) => Promise<T>,
  ): ResultAsync<T, string> {
    const connection = this.#links.get(router)?.connection;
    if (connection === undefined) return errAsync(`no link to ${router}`);
    return ResultAsync.fromPromise(request(connection), messageOf);
  }

  #relayThrough<T>(
    router: RouterName,
    failureKind: 'unavailable' | 'unknown',
    codec: Codec<T>,
    request: (connection: Connection) => Promise<RelayResult<unknown>>,
  ): ResultAsync<T, PlatformFailure> {
    const connection = this.#links.get(router)?.connection;
    if (connection === undefined) {
      return errAsync({ kind: 'unavailable', detail: `no link to ${router}` });
    }
    return ResultAsync.fromPromise(request(connection), (error): PlatformFailure => ({
      kind: failureKind,
      detail: messageOf(error),
    })).andThen((relayed): Result<T, PlatformFailure> => {
      if (relayed.kind === 'failed') return err(relayed.failure);
      return decode(codec, relayed.value).mapErr((detail) => ({ kind: failureKind, detail }));
    });
  }

  /** Encodes a message. The last one is cached, since heartbeats go to every peer. */
  #encode(message: Message): QueuedMessage {
    if (this.#lastEncoded?.message === message) return this.#lastEncoded.encoded;
    const text = JSON.stringify(messageCodec.encode(message));
    const encoded: QueuedMessage = {
      kind: message.kind,
      text,
      bytes: Buffer.byteLength(text) + 1,
      queuedAt: Clock.system().now(),
    };
    this.#lastEncoded = { message, encoded };
    return encoded;
  }

  /**
   * Asks the routers at seeds without a link for their identity, so that peers are discovered
   * without the platform.
   */
  async #discover(context: LinkContext, signal: AbortSignal): Promise<void> {
    const clock = Clock.system();
    const seeds = this.#options.seeds.filter((seed) => seed !== context.self.peerAddress);
    if (seeds.length === 0) return;
    while (!signal.aborted) {
      const linked = new Set([...this.#links.values()].map((link) => link.address));
      const unlinked = seeds.filter((seed) => !linked.has(seed));
      await Promise.all(unlinked.map((seed) => discoverRouter(seed, context)));
      await clock.sleep(seedPeriod, signal);
    }
  }

  async #report(signal: AbortSignal): Promise<void> {
    const clock = Clock.system();
    while (!signal.aborted) {
      await clock.sleep(flushPeriod, signal);
      this.#traffic.flush(this.#options.metrics);
    }
  }
}

async function discoverRouter(seed: string, context: LinkContext): Promise<void> {
  const found = await handshake(seed, context);
  if (found.isErr()) return;
  found.value.connection.terminate();
  if (found.value.router.name !== context.self.name) context.peerIdentified(found.value.router);
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : 'the request to the peer failed';
}
