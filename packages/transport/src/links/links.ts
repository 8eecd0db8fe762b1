// All links of one router: the server side for its peers and one outgoing link to each of them.

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
import { greeted, Link, type Line, type LinkHost, type EventLog } from './link.js';
import { PeerServer } from './peerServer.js';
import type { PeerHandlers, Relayed } from './procedures.js';
import { Traffic, type Counters, type TrafficCount } from './traffic.js';

export interface LinksOptions {
  /** Host to listen on, an IP number. */
  readonly host: string;
  /** Port to listen on; 0 lets the system choose. */
  readonly port: number;
  /** Shared by all routers of the fleet. */
  readonly secret: string;
  /** Addresses (`host:port`) to look for routers that are not known otherwise. */
  readonly seeds: readonly string[];
  readonly metrics: Counters;
  readonly eventLog: EventLog;
}

const seedPeriod: Milliseconds = 1000;
const flushPeriod: Milliseconds = 1000;

/** Router links: the outbox, the catalogue of peers and the relay of table transactions. */
export class Links {
  readonly #options: LinksOptions;
  readonly #server: PeerServer;
  readonly #traffic: Traffic;
  readonly #links = new Map<RouterName, Link>();
  #host: LinkHost | undefined;
  #handlers: PeerHandlers | undefined;
  #lastEncoded: { readonly message: Message; readonly line: Line } | undefined;

  private constructor(options: LinksOptions, server: PeerServer, traffic: Traffic) {
    this.#options = options;
    this.#server = server;
    this.#traffic = traffic;
  }

  /** Listens; peers that connect before `start` are turned away and try again. */
  static listen(options: LinksOptions): ResultAsync<Links, string> {
    const traffic = Traffic.create();
    const { host, port, secret, metrics, eventLog: journal } = options;
    return PeerServer.listen({ host, port, secret, metrics, eventLog: journal, traffic }).map(
      (server) => new Links(options, server, traffic),
    );
  }

  /** The address that peers connect to, `host:port`. */
  get address(): string {
    return this.#server.address;
  }

  /** Accepts peers as `self` and looks for them at the seeds until `signal` aborts. */
  async start(self: Router, handlers: PeerHandlers, signal: AbortSignal): Promise<void> {
    const { secret, metrics, eventLog: eventLog } = this.#options;
    const guarded: PeerHandlers = {
      ...handlers,
      deliver: (from, message) => {
        this.#deliver(handlers, from, message);
      },
    };
    this.#handlers = guarded;
    this.#host = {
      self,
      secret,
      traffic: this.#traffic,
      metrics,
      eventLog: eventLog,
      met: (router) => {
        handlers.peerIdentified(router);
      },
    };
    this.#server.start(self, guarded);
    await Promise.all([this.#seek(this.#host, signal), this.#report(signal)]);
    this.close();
  }

  /** Keeps links to exactly these routers; the own one is left out. */
  connect(routers: readonly Router[]): void {
    const host = this.#host;
    if (host === undefined) return;
    const wanted = new Map(routers.map((router) => [router.name, router.peerAddress]));
    wanted.delete(host.self.name);
    for (const [name, link] of this.#links) {
      if (wanted.get(name) === link.address) continue;
      link.close();
      this.#links.delete(name);
    }
    for (const [name, address] of wanted) {
      if (this.#links.has(name)) continue;
      const link = Link.create(name, address, host);
      this.#links.set(name, link);
      void link.run();
    }
  }

  /** Queues a message; one to the own name is delivered in a later microtask. */
  send(to: RouterName, message: Message): void {
    if (to === this.#host?.self.name) {
      queueMicrotask(() => {
        this.#handlers?.deliver(to, message);
      });
      return;
    }
    const link = this.#links.get(to);
    if (link === undefined) this.#options.metrics.count('peer.dropped', { kind: message.kind });
    else link.send(this.#encoded(message));
  }

  /** The catalogue of a peer, as changes from `revision` on or whole. */
  catalogueSince(router: RouterName, revision: Revision): ResultAsync<CatalogueUpdate, string> {
    return this.#ask(router, (connection) =>
      connection.client.catalogueSince.query(revision),
    ).andThen((update) =>
      decode(catalogueUpdateCodec, update).mapErr((error) => `catalogue of ${router}: ${error}`),
    );
  }

  /** Lets a peer perform a table transaction. */
  transact(router: RouterName, transaction: Transaction): ResultAsync<Commit, PlatformFailure> {
    return this.#relay(router, 'unknown', commitCodec, (connection) =>
      connection.client.relay.mutate(transaction),
    );
  }

  /** Lets a peer read rows. */
  rows(router: RouterName, prefix: string): ResultAsync<readonly Row[], PlatformFailure> {
    return this.#relay(router, 'unavailable', rowsCodec, (connection) =>
      connection.client.relayRows.query(prefix),
    );
  }

  /** The status that a peer reports about itself. */
  status(router: RouterName): ResultAsync<unknown, string> {
    return this.#ask(router, (connection) => connection.client.status.query());
  }

  /** Bytes and messages since the start. */
  traffic(): readonly TrafficCount[] {
    return this.#traffic.totals();
  }

  /** Closes every connection and the listening socket. */
  close(): void {
    for (const link of this.#links.values()) link.close();
    this.#links.clear();
    this.#server.close();
  }

  /** A fault in the handling of one message must not lose the rest of its batch. */
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

  #ask<T>(
    router: RouterName,
    question: (connection: Connection) => Promise<T>,
  ): ResultAsync<T, string> {
    const connection = this.#links.get(router)?.connection;
    if (connection === undefined) return errAsync(`no link to ${router}`);
    return ResultAsync.fromPromise(question(connection), messageOf);
  }

  #relay<T>(
    router: RouterName,
    lost: 'unavailable' | 'unknown',
    codec: Codec<T>,
    request: (connection: Connection) => Promise<Relayed<unknown>>,
  ): ResultAsync<T, PlatformFailure> {
    const connection = this.#links.get(router)?.connection;
    if (connection === undefined) {
      return errAsync({ kind: 'unavailable', detail: `no link to ${router}` });
    }
    return ResultAsync.fromPromise(request(connection), (error): PlatformFailure => ({
      kind: lost,
      detail: messageOf(error),
    })).andThen((relayed): Result<T, PlatformFailure> => {
      if (relayed.kind === 'failed') return err(relayed.failure);
      return decode(codec, relayed.value).mapErr((detail) => ({ kind: lost, detail }));
    });
  }

  /** Heartbeats go to every peer, so the last encoded message is kept for the next receiver. */
  #encoded(message: Message): Line {
    if (this.#lastEncoded?.message === message) return this.#lastEncoded.line;
    const text = JSON.stringify(messageCodec.encode(message));
    const line: Line = {
      kind: message.kind,
      text,
      bytes: Buffer.byteLength(text) + 1,
      queued: Clock.system().now(),
    };
    this.#lastEncoded = { message, line };
    return line;
  }

  /** Asks seeds without a link for their identity, so that the fleet is found without the platform. */
  async #seek(host: LinkHost, signal: AbortSignal): Promise<void> {
    const clock = Clock.system();
    const seeds = this.#options.seeds.filter((seed) => seed !== host.self.peerAddress);
    if (seeds.length === 0) return;
    while (!signal.aborted) {
      const linked = new Set([...this.#links.values()].map((link) => link.address));
      const open = seeds.filter((seed) => !linked.has(seed));
      await Promise.all(open.map((seed) => meet(seed, host)));
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

async function meet(seed: string, host: LinkHost): Promise<void> {
  const found = await greeted(seed, host);
  if (found.isErr()) return;
  found.value.connection.terminate();
  if (found.value.router.name !== host.self.name) host.met(found.value.router);
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : 'the request to the peer failed';
}
