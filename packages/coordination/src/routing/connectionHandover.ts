// Load pattern: the callers of a team keep to one router, whatever the directory names, and ask for several times what
// its VM can relay, while the VMs of other routers idle. Fair order among teams is of no use to requests that no router
// has the time to read. A router without processor time to spare hands the connections of its callers on to others that
// have some, which read and relay what comes on them.

import { selectEntryRouters, type EntryRouter } from './entryRouters.js';

/** A router hands connections on while it uses this part of its VM or more. */
const handoverPart = 0.75;
/** It goes on until it uses less than this; handing on lowers its use, and would otherwise end at once. */
const keepingPart = 0.6;
/** Connections are handed on to routers that use less than this part of their VMs, which leaves room for their own callers. */
const receivingPart = 0.6;

/** A router that connections may be handed on to. */
export interface HandoverTarget extends EntryRouter {
  readonly dataCentre: string;
  readonly isLeaving: boolean;
}

/** Where this router is, and where connections may go. */
export interface HandoverSource {
  readonly dataCentre: string;
  /** Region of each data centre. Bodies stay in the region. */
  readonly regionOf: Readonly<Record<string, string>>;
}

/**
 * Part of the servers that have to be free. A flood that no server has room for would only make the requests of others late;
 * it is held back where it arrives.
 */
const freeServers = 0.25;

/**
 * Whether a router that uses `part` of its VM hands new connections on, `free` being the part of servers that have room and
 * `isActive` whether it does so already.
 */
export function shouldHandOver(part: number, free: number, isActive: boolean): boolean {
  return part >= (isActive ? keepingPart : handoverPart) && free >= freeServers;
}

/**
 * The router that a new connection is handed on to: one of those to which callers are sent, drawn by free processor time, so
 * that routers which hand on at the same time do not all choose the same one. More routers would each fill the room that
 * they see at a server before they hear of one another. Undefined if none has processor time to spare.
 * `random` gives numbers from 0 to 1.
 */
export function selectHandoverTarget<Each extends HandoverTarget>(
  place: HandoverSource,
  others: readonly Each[],
  random: () => number,
): Each | undefined {
  const region = place.regionOf[place.dataCentre];
  const able = others.filter((other) => {
    return !other.isLeaving && place.regionOf[other.dataCentre] === region;
  });
  const choice = selectEntryRouters(able).filter((each) => spareOf(each) > 0);
  let point = random() * choice.reduce((sum, each) => sum + spareOf(each), 0);
  return choice.find((each) => (point -= spareOf(each)) < 0);
}

/** Cores that a router can use for connections of others. */
function spareOf({ capacity, used }: EntryRouter): number {
  return receivingPart * capacity - used;
}
