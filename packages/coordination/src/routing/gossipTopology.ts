// Gossip topology. If each router of a large fleet sent its report to all others, datagrams would grow with the
// square of the number of routers, and most would cross data centres. In a large fleet, routers send reports only
// within their data centre; one representative of each sends the summary to the representatives of the others,
// which forward it to their own data centre.

import type { Milliseconds } from '@catkinwheel/state';
import { silenceTimeout, type Member } from './members.js';
import type { Reporter } from './reports.js';

/**
 * Max size of a fleet in which each router sends to all others, ten times a second; that is some 120
 * datagrams a second.
 */
const maxMeshSize = 16;

/** Time between two datagrams to a router in a small fleet. */
const minInterval: Milliseconds = 100;
/** Max datagrams that a router sends a second, to all receivers together. */
const maxSendRate = 120;
/**
 * Time between two datagrams from or to an idle router of a large fleet, which has no load to report and no
 * requests to place. Two may be lost before it counts as silent.
 */
const idleInterval: Milliseconds = silenceTimeout / 3;

/** Interval of datagrams to silent routers; long, since they may have been removed for good. */
const silentProbeInterval: Milliseconds = 3_000;
/**
 * The same for a representative. If the representatives of two data centres are lost at once, neither data centre
 * knows the other's new one until a silent router receives a datagram.
 */
const representativeProbeInterval: Milliseconds = 1_000;

/** The routers that one router sends gossip to. */
export interface GossipTopology {
  /** Routers that receive this router's own report. */
  readonly directPeers: readonly Member[];
  /** Whether other data centres send summaries in place of the reports of their routers. */
  readonly isHierarchical: boolean;
  /**
   * Representatives of other data centres, which receive the summary; undefined if this router is not a
   * representative.
   */
  readonly representatives: readonly Member[] | undefined;
  /** Time between two datagrams to silent routers. */
  readonly silentProbeInterval: Milliseconds;
}

/** Whether a fleet of `size` routers exchanges only summaries between data centres. */
export function usesHierarchicalGossip(size: number): boolean {
  return size > maxMeshSize;
}

/**
 * The topology as seen by router `self`: `alive` are the other routers with a recent heartbeat, `size` is the
 * number of routers that may be running. A data centre is represented by its largest router that is not about
 * to leave.
 */
export function gossipTopologyOf(
  self: Pick<Member, 'name' | 'dataCentre' | 'isLeaving' | 'capacity'>,
  alive: readonly Member[],
  size: number,
): GossipTopology {
  if (!usesHierarchicalGossip(size))
    return {
      directPeers: alive,
      isHierarchical: false,
      representatives: undefined,
      silentProbeInterval,
    };
  const directPeers = alive.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const first = new Map<string, Member>();
  for (const member of alive) {
    if (member.isLeaving) continue;
    const known = first.get(member.dataCentre);
    if (known === undefined || precedes(member, known)) first.set(member.dataCentre, member);
  }
  const ownRepresentative = first.get(self.dataCentre);
  const represents =
    !self.isLeaving && (ownRepresentative === undefined || precedes(self, ownRepresentative));
  const others = [...first.values()].filter(({ dataCentre }) => dataCentre !== self.dataCentre);
  return represents
    ? {
        directPeers,
        isHierarchical: true,
        representatives: others,
        silentProbeInterval: representativeProbeInterval,
      }
    : {
        directPeers,
        isHierarchical: true,
        representatives: undefined,
        silentProbeInterval,
      };
}

function precedes(
  a: Pick<Member, 'name' | 'capacity'>,
  b: Pick<Member, 'name' | 'capacity'>,
): boolean {
  return a.capacity === b.capacity ? a.name < b.name : a.capacity > b.capacity;
}

/**
 * Whether a router tells others of a change of its tables at once: where it has read the change in the store, and where it
 * represents its data centre. All others would tell routers that have heard of it, and their datagrams would grow with the
 * square of the number of routers at each change.
 */
export function spreadsChange(
  { isHierarchical, representatives }: GossipTopology,
  isFromStore: boolean,
): boolean {
  return isFromStore || (isHierarchical && representatives !== undefined);
}

/** Time between two gossip rounds of a router; `isIdle` if it has no requests. */
export function gossipInterval(topology: GossipTopology, isIdle: boolean): Milliseconds {
  const { directPeers, isHierarchical, representatives } = topology;
  const busyInterval = Math.max(minInterval, (1_000 * directPeers.length) / maxSendRate);
  return isHierarchical && representatives === undefined && isIdle ? idleInterval : busyInterval;
}

/**
 * Whether a round also goes to idle routers of a large fleet. `since` is the time since their last one,
 * `interval` that between rounds. A round that is slightly early qualifies, since the next one would be too
 * late.
 */
export function includesIdlePeers(since: Milliseconds, interval: Milliseconds): boolean {
  return since + interval / 2 >= idleInterval;
}

/**
 * Whether a router sends datagrams to a silent one; `isOwnDataCentre` if that may be in its own data centre.
 */
export function probesSilentPeer(
  { isHierarchical, representatives }: GossipTopology,
  isOwnDataCentre: boolean,
): boolean {
  return !isHierarchical || representatives !== undefined || isOwnDataCentre;
}

/**
 * Whether a router uses a report that it receives. Each load must count once: in the report of its router or in the
 * summary of its data centre. `isOwnDataCentre` is whether the report comes from this router's data centre.
 */
export function acceptsReport(
  { isHierarchical }: GossipTopology,
  reporter: Reporter['kind'],
  isOwnDataCentre: boolean,
): boolean {
  switch (reporter) {
    case 'router':
      return !isHierarchical || isOwnDataCentre;
    case 'dataCentre':
      return isHierarchical && !isOwnDataCentre;
  }
}
