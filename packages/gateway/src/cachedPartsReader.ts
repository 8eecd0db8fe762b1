// After a restart of all routers nobody remembers which servers hold which prompt parts, but the servers
// still do. A router that no other one could tell asks them once.

import type { Dispatcher, Members } from '@catkinwheel/coordination/routing';
import { decodeCachedParts, cachedPartsPath } from '@catkinwheel/platform';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import { Agent } from 'undici';
import type { Log } from './log.js';
import type { PeerState } from './peerState.js';

/** Time after the start in which servers and other routers become known. */
const settleTime: Milliseconds = 400;
/** Servers answer after the step that they are in. */
const answerTime: Milliseconds = 1_000;
/** Largest list in bytes; the largest caches of the published deployments hold some thousand parts of 50 bytes. */
const listLimit = 2 * 1024 * 1024;
/** How often a router looks whether servers are known by now. */
const lookInterval: Milliseconds = 100;
/** A router that asks later would only learn what it knows from its own requests. */
const lookTime: Milliseconds = 5_000;

/** Reads the parts that servers keep, at most once in a run of a router. */
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
      if (clock.now() - start > lookTime) return;
      await clock.sleep(lookInterval);
    }
    await clock.sleep(settleTime * (0.5 + Math.random()));
    const [peer] = members.alive();
    if (peer !== undefined) await peerState.fetch(peerAddress(peer.ip));
    // What is known from the own requests of this run is not what servers hold from before.
    if (peerState.hasParts) return;
    await Promise.all(dispatcher.engineServers().map(({ id, address }) => this.#read(id, address)));
  }

  async #read(server: string, address: string): Promise<void> {
    const { dispatcher, log } = this.options;
    const agent = new Agent({ connect: { timeout: answerTime }, maxResponseSize: listLimit });
    try {
      const { statusCode, body } = await agent.request({
        origin: `http://${address}`,
        path: cachedPartsPath,
        method: 'GET',
        signal: AbortSignal.timeout(answerTime),
      });
      if (statusCode !== 200) throw new Error(`status ${statusCode}`);
      const json = await body.json();
      decodeCachedParts(server, json).match(
        (parts) => {
          dispatcher.addCachedParts(parts);
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
