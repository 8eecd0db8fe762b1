// Transfers table rows between routers over HTTP: all rows after the versions that the requesting router has. This brings a
// router up to date that has just started or that the store refuses to serve.

import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Hono } from 'hono';
import {
  amount,
  decodeForeign,
  readJson,
  tokenCount,
  vmAddress,
  wholeNumber,
} from '@catkinwheel/protocol';
import { Codec, array, boolean, optional, string, tuple, type GetType } from 'purify-ts';
import type { Dispatcher, Members, Revision } from '@catkinwheel/coordination/routing';
import { Agent } from 'undici';
import {
  tableNames,
  type Changes,
  type StoreReplica,
  type TableName,
  type TableRevisions,
} from './storeReplica.js';
import type { Log } from './log.js';

const path = '/state';
/** Request timeout; responses come from memory, so a router that takes longer is frozen or partitioned. */
const responseTimeout: Milliseconds = 400;
/** Largest response in bytes. It has to hold the tables and all of `PrefixCacheIndex`. */
const maxResponseBytes = 16 * 1024 * 1024;
/** Shortest time between two requests to one router. */
const minRequestInterval: Milliseconds = 30;
/** Shortest time between two requests for newer rows, which then bring all rows that have changed meanwhile. */
const minNewerInterval: Milliseconds = 100;
/** A router that has not sent newer rows by then is waited for no longer before another one is asked. */
const newerPatience: Milliseconds = 150;

/** A router that has said that its tables are newer. */
interface NewerPeer {
  readonly address: string;
  readonly revisions: TableRevisions;
}

const changesCodec = Codec.interface({
  /** Routers of earlier versions do not know eras. */
  era: optional(wholeNumber),
  version: wholeNumber,
  rows: array(Codec.interface({ key: string, version: wholeNumber, value: optional(string) })),
});

const stateCodec = Codec.interface({
  operators: changesCodec,
  servers: changesCodec,
  /** Names, IP addresses and cores of registered routers. */
  routers: array(tuple([string, vmAddress, amount])),
  /** Whether these are all registered routers; routers of earlier versions do not say. */
  isComplete: optional(boolean),
  /** Servers, the prompt parts that they cache, and the parts' tokens; empty unless requested. */
  parts: array(tuple([string, string, tokenCount])),
});

/** Serves this router's tables to other routers, and fetches theirs. */
export class PeerState {
  readonly #agent = new Agent({ connect: { timeout: responseTimeout }, pipelining: 1 });
  /** Cached parts are fetched once; later changes come by gossip. */
  #hasCachedParts = false;
  /** Addresses with a request in flight, or one that ended less than `minRequestInterval` ago. */
  readonly #recentlyRequested = new Set<string>();
  /** The last router heard of with newer tables that has not been asked for them. */
  #newerPeer: NewerPeer | undefined;
  #isFetchingNewer = false;

  private constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly dispatcher: Dispatcher;
      readonly storeReplica: StoreReplica;
      readonly members: Members;
      readonly log: Log;
      readonly router: string;
      readonly ip: string;
      readonly capacity: number;
    },
  ) {}

  static create(options: PeerState['options']): PeerState {
    return new PeerState(options);
  }

  /** Whether another router has reported which parts servers cache. */
  get hasCachedParts(): boolean {
    return this.#hasCachedParts;
  }

  /** Adds the endpoint that serves this router's tables to `app`. */
  addRoutes(app: Hono): void {
    const { dispatcher, storeReplica, members, router, ip, capacity } = this.options;
    app.get(path, (context) => {
      const changes = (table: TableName): Revision & Pick<Changes, 'rows'> => {
        const { era } = storeReplica.revision(table);
        const since = {
          era: Number(context.req.query(eraField(table)) ?? era),
          version: Number(context.req.query(table) ?? 0),
        };
        const { revision, rows } = storeReplica.changesSince(table, since);
        return { ...revision, rows };
      };
      return context.json({
        operators: changes('operators'),
        servers: changes('servers'),
        routers: [
          [router, ip, capacity],
          ...[...members.registered()].map(([name, known]) => [name, known.ip, known.capacity]),
        ],
        isComplete: members.isComplete,
        parts:
          context.req.query('parts') === undefined
            ? []
            : dispatcher
                .cachedParts()
                .map(({ server, part, tokens: size }) => [server, part, size]),
      });
    });
  }

  /**
   * Fetches the rows of a router whose tables are newer, if no other one has sent them before. All routers of a data centre
   * tell of each change at about the same time, so one of them is asked at a time. Resolves when none is left to ask.
   */
  async fetchNewer(address: string, revisions: TableRevisions): Promise<void> {
    this.#newerPeer = { address, revisions };
    if (this.#isFetchingNewer) return;
    this.#isFetchingNewer = true;
    const { clock } = this.options;
    try {
      for (let peer = this.#takeNewerPeer(); peer !== undefined; peer = this.#takeNewerPeer()) {
        await Promise.race([this.fetch(peer.address), clock.sleep(newerPatience)]);
        await clock.sleep(minNewerInterval);
      }
    } finally {
      this.#isFetchingNewer = false;
    }
  }

  #takeNewerPeer(): NewerPeer | undefined {
    const peer = this.#newerPeer;
    this.#newerPeer = undefined;
    const isNewer = peer !== undefined && this.options.storeReplica.isBehind(peer.revisions);
    return isNewer ? peer : undefined;
  }

  /** Fetches newer rows from the router at `address`, `host:port`. Failures are logged. */
  async fetch(address: string): Promise<void> {
    if (this.#recentlyRequested.has(address)) return;
    this.#recentlyRequested.add(address);
    const { clock, storeReplica, log } = this.options;
    const tables = tableNames.map((table) => {
      const { era, version } = storeReplica.revision(table);
      return `${table}=${version}&${eraField(table)}=${era}`;
    });
    const query = [...tables, ...(this.#hasCachedParts ? [] : ['parts=all'])].join('&');
    try {
      const { statusCode, body } = await this.#agent.request({
        origin: `http://${address}`,
        path: `${path}?${query}`,
        method: 'GET',
        signal: AbortSignal.timeout(responseTimeout),
      });
      const json = await readJson(body, maxResponseBytes);
      if (statusCode !== 200) throw new Error(`status ${statusCode}`);
      decodeForeign(stateCodec, json).match(
        (state) => {
          this.#apply(state);
        },
        (detail) => {
          log.write('peer state refused', { address, detail });
        },
      );
    } catch (error) {
      log.write('peer state not read', { address, detail: String(error) });
    }
    await clock.sleep(minRequestInterval);
    this.#recentlyRequested.delete(address);
  }

  #apply(state: GetType<typeof stateCodec>): void {
    const { dispatcher, storeReplica, members } = this.options;
    for (const [name, ip, capacity] of state.routers) members.register(name, { ip, capacity });
    if (state.isComplete === true) members.recordComplete();
    for (const table of tableNames) {
      const own = storeReplica.revision(table).era;
      const { era = own, version, rows } = state[table];
      const changes: Changes = {
        revision: { era, version },
        rows: rows.map((row) => ({ ...row, value: row.value })),
      };
      // A router in another era sends all rows.
      if (era === own) storeReplica.merge(table, changes, 'peer');
      else storeReplica.replace(table, changes, 'peer');
    }
    if (state.parts.length === 0) return;
    this.#hasCachedParts = true;
    dispatcher.addCachedParts(
      state.parts.map(([server, part, size]) => ({ server, part, tokens: size })),
    );
  }
}

/** Query field with the era of the requesting router's copy of the table. */
function eraField(table: TableName): string {
  return `${table}Era`;
}
