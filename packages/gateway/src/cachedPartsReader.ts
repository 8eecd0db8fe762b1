// Recovers the record of which server caches which prompt parts. After a restart of all routers no router has it any
// more, so a router that cannot get it from another one reads it from the servers once.

import type { Dispatcher, Members, ServerInstance } from '@catkinwheel/coordination/routing';
import { readJson } from '@catkinwheel/protocol';
import { decodeCachedParts, cachedPartsPath } from '@catkinwheel/platform';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Agent } from 'undici';
import type { Log } from './log.js';
import type { PeerState } from './peerState.js';

/** Mean wait, once a server is known, for other routers and servers to become known. */
const settleDelay: Milliseconds = 400;
/** Timeout of a server's response, which comes after the engine's current step. */
const responseTimeout: Milliseconds = 1_000;
/** Largest list in bytes; the largest caches of the published deployments hold some thousand parts of 50 bytes each. */
const maxListBytes = 2 * 1024 * 1024;
/** Interval at which a router checks whether servers are known. */
const pollInterval: Milliseconds = 100;
/** After this time without a known server the lists are not read: they would only show what this router sent itself. */
const maxServerWait: Milliseconds = 5_000;

/** Reads the lists of cached parts from servers, at most once after a start of the router. */
export class CachedPartsReader {
  private constructor(
    private readonly options: {
      readonly clock: Clock;
      readonly dispatcher: Dispatcher;
      readonly members: Members;
      readonly peerState: PeerState;
      readonly log: Log;
      readonly peerAddress: (ip: string) => string;
    },
  ) {}

  static create(options: CachedPartsReader['options']): CachedPartsReader {
    return new CachedPartsReader(options);
  }

  async run(): Promise<void> {
    const { clock, dispatcher, members, peerState, peerAddress } = this.options;
    const start = clock.now();
    while (dispatcher.engineServers().length === 0) {
      if (clock.now() - start > maxServerWait) return;
      await clock.sleep(pollInterval);
    }
    await clock.sleep(settleDelay * (0.5 + Math.random()));
    const [peer] = members.alive();
    if (peer !== undefined) await peerState.fetch(peerAddress(peer.ip));
    // Parts known from this router's own requests do not count: servers cache earlier parts as well.
    if (peerState.hasCachedParts) return;
    await Promise.all(dispatcher.engineServers().map((server) => this.#read(server)));
  }

  async #read(instance: ServerInstance): Promise<void> {
    const { dispatcher, log } = this.options;
    const { id: server, address } = instance;
    const agent = new Agent({ connect: { timeout: responseTimeout } });
    try {
      const { statusCode, body } = await agent.request({
        origin: `http://${address}`,
        path: cachedPartsPath,
        method: 'GET',
        signal: AbortSignal.timeout(responseTimeout),
      });
      if (statusCode !== 200) throw new Error(`status ${statusCode}`);
      const json = await readJson(body, maxListBytes);
      decodeCachedParts(server, json).match(
        (parts) => {
          if (dispatcher.servers.isRegistered(instance)) dispatcher.addCachedParts(parts);
          log.write('kept parts read', { server, parts: parts.length });
        },
        (detail) => {
          log.write('kept parts refused', { server, detail });
        },
      );
    } catch (error) {
      log.write('kept parts not read', { server, detail: String(error) });
    } finally {
      agent.close().catch(() => undefined);
    }
  }
}
