// Load pattern: many routers. If each told each of the others, datagrams would grow with the square of their
// number, and most would cross data centres. In a large fleet routers tell those of their own data centre,
// and one of them tells the sum to one router of each other data centre, which hands it on there.

import type { Milliseconds } from '@catkinwheel/state';
import { silenceLimit, type Member } from './members.js';
import type { Reporter } from './reports.js';

/** Up to so many routers each tells each, ten times a second for some 120 datagrams. */
const meshSize = 16;

/** Time between two datagrams to a router in a small fleet. */
const shortestInterval: Milliseconds = 100;
/** Datagrams that a router sends a second at most, all receivers together. */
const sendRate = 120;
/**
 * Time between two datagrams from or to an idle router of a large fleet, which has nothing to tell or decide. Two may
 * be lost before it counts as silent.
 */
const idleInterval: Milliseconds = silenceLimit / 3;

/** A router answers silent ones rarely: they may have been removed for good. */
const silentInterval: Milliseconds = 3_000;
/**
 * The same for a representative. If those of two data centres are lost at once, nobody there knows who
 * replaces the other one until a silent router is told.
 */
const representativeInterval: Milliseconds = 1_000;

/** Whom a router tells what. */
export interface GossipTopology {
  /** Routers that are told of this one. */
  readonly directPeers: readonly Member[];
  /** Whether routers of other data centres are heard of by sums. */
  readonly isHierarchical: boolean;
  /** Routers of other data centres that are told the sum; undefined if another one does so. */
  readonly representatives: readonly Member[] | undefined;
  /** Time between two tries to reach silent routers. */
  readonly silentProbeInterval: Milliseconds;
}

/** Whether a fleet of `size` routers tells other data centres only sums. */
export function usesHierarchicalGossip(size: number): boolean {
  return size > meshSize;
}

/**
 * The neighbours of router `self` among `alive`, in a fleet of `size` that may be running. The largest
 * of a data centre that is not about to leave represents it.
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
      silentProbeInterval: silentInterval,
    };
  const mates = alive.filter(({ dataCentre }) => dataCentre === self.dataCentre);
  const first = new Map<string, Member>();
  for (const member of alive) {
    if (member.isLeaving) continue;
    const known = first.get(member.dataCentre);
    if (known === undefined || goesBefore(member, known)) first.set(member.dataCentre, member);
  }
  const own = first.get(self.dataCentre);
  const represents = !self.isLeaving && (own === undefined || goesBefore(self, own));
  const others = [...first.values()].filter(({ dataCentre }) => dataCentre !== self.dataCentre);
  return represents
    ? {
        directPeers: mates,
        isHierarchical: true,
        representatives: others,
        silentProbeInterval: representativeInterval,
      }
    : {
        directPeers: mates,
        isHierarchical: true,
        representatives: undefined,
        silentProbeInterval: silentInterval,
      };
}

function goesBefore(
  a: Pick<Member, 'name' | 'capacity'>,
  b: Pick<Member, 'name' | 'capacity'>,
): boolean {
  return a.capacity === b.capacity ? a.name < b.name : a.capacity > b.capacity;
}

/** Time between two rounds in which a router with these neighbours sends; `isIdle` if it has no request. */
export function gossipInterval(neighbours: GossipTopology, isIdle: boolean): Milliseconds {
  const { directPeers: mates, isHierarchical: isGrouped, representatives } = neighbours;
  const busy = Math.max(shortestInterval, (1_000 * mates.length) / sendRate);
  return isGrouped && representatives === undefined && isIdle ? idleInterval : busy;
}

/**
 * Whether idle routers of a large fleet are told in a round as well, `since` their last one; rounds come every
 * `interval`. A round that is a little early counts, since the next one would be too late.
 */
export function includesIdlePeers(since: Milliseconds, interval: Milliseconds): boolean {
  return since + interval / 2 >= idleInterval;
}

/** Whether a router with these neighbours tries to reach a silent one; `isOwnGroup` if it may be a mate. */
export function probesSilentPeer(
  { isHierarchical: isGrouped, representatives }: GossipTopology,
  isOwnGroup: boolean,
): boolean {
  return !isGrouped || representatives !== undefined || isOwnGroup;
}

/**
 * Whether a report is counted by a router with these neighbours. Each load is to be counted once: in the
 * report of its router or in the sum of its data centre. `isOwnGroup` tells whether it comes from the own one.
 */
export function acceptsReport(
  { isHierarchical: isGrouped }: GossipTopology,
  reporter: Reporter['kind'],
  isOwnGroup: boolean,
): boolean {
  switch (reporter) {
    case 'router':
      return !isGrouped || isOwnGroup;
    case 'dataCentre':
      return isGrouped && !isOwnGroup;
  }
}
