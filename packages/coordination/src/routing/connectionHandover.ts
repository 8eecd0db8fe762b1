// Hands connections over from a router whose VM is short of processor time to routers that have some, which then
// forward the first request on them. The callers of a team may all use one router, whatever the directory
// lists, and ask for several times what its VM can forward while other VMs idle. Fair queueing does not help
// requests that the router has no time to read. While servers have no room, only the teams that are owed service are
// handed over: any router would serve them first, and the requests of the others would only wait elsewhere.

import { selectEntryRouters, type EntryRouter } from './entryRouters.js';
import type { FleetUsage } from './intake.js';
import { isOwedService } from './overload.js';

/** Fraction of its VM in use at which a router starts to hand connections over. */
const startFraction = 0.75;
/**
 * Fraction below which it stops; lower, since handing over reduces its use and would otherwise end at once.
 */
const stopFraction = 0.6;
/** Fraction of its VM up to which a router is handed connections, which leaves room for its own callers. */
const maxTargetFraction = 0.6;

/** A router that connections may be handed over to. */
export interface HandoverTarget extends EntryRouter {
  readonly dataCentre: string;
  readonly isLeaving: boolean;
}

/** The location of the router that hands connections over. */
export interface HandoverSource {
  readonly dataCentre: string;
  /** Region of each data centre. Request bodies must stay in the region. */
  readonly regionOf: Readonly<Record<string, string>>;
}

/**
 * Min fraction of servers with room for the connections of all teams to be handed over. A flood that no server has room for
 * would only delay the requests of others, so it stays at the router where it arrives.
 */
const minFreeServerFraction = 0.25;

/** Whose connections a router hands over. */
export type HandoverScope = 'none' | 'owedTeams' | 'allTeams';

/** How much processor time a router has for its callers. */
export interface ProcessorLoad {
  /** Fraction of its VM in use. */
  readonly used: number;
  /** Whether requests have been waiting for processor time for longer than a burst takes, whatever is in use by the measure. */
  readonly isQueueStanding: boolean;
}

/**
 * Whose connections a router hands over. `freeServerFraction` is that of the servers that have room, `current` the scope until
 * now.
 */
export function handoverScope(
  { used, isQueueStanding }: ProcessorLoad,
  freeServerFraction: number,
  current: HandoverScope,
): HandoverScope {
  const isSaturated = used >= (current === 'none' ? startFraction : stopFraction);
  if (!isSaturated && !isQueueStanding) return 'none';
  return freeServerFraction >= minFreeServerFraction ? 'allTeams' : 'owedTeams';
}

/** Whether the scope includes the team; the name is empty for requests without a team. */
export function includesTeam(scope: HandoverScope, team: string, usage: FleetUsage): boolean {
  switch (scope) {
    case 'none':
      return false;
    case 'owedTeams':
      return isOwedService(usage.received(team), usage.mostReceived());
    case 'allTeams':
      return true;
  }
}

/**
 * Selects a router for a new connection from those that callers are sent to, at random and weighted by spare
 * processor time, so that routers which hand over at the same time do not all select the same one. It does
 * not use all routers: each would fill the room that it sees at a server before it learns of the others'
 * requests. Undefined if none has processor time to spare. `random` returns numbers from 0 to 1.
 */
export function selectHandoverTarget<Each extends HandoverTarget>(
  source: HandoverSource,
  others: readonly Each[],
  random: () => number,
): Each | undefined {
  const region = source.regionOf[source.dataCentre];
  const eligible = others.filter((other) => {
    return !other.isLeaving && source.regionOf[other.dataCentre] === region;
  });
  const choice = selectEntryRouters(eligible).filter((target) => spareCores(target) > 0);
  let point = random() * choice.reduce((sum, target) => sum + spareCores(target), 0);
  return choice.find((target) => (point -= spareCores(target)) < 0);
}

/** Cores that a router can use for connections handed over to it. */
function spareCores({ capacity, used }: EntryRouter): number {
  return maxTargetFraction * capacity - used;
}
