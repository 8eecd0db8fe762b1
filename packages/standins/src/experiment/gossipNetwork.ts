// How emulated routers tell one another what they have under way: as the program does it, each tells each in a small
// fleet, and sums of data centres go between representatives in a large one.

import {
  Members,
  acceptsReport,
  gossipTopologyOf,
  gossipInterval,
  type Member,
  type GossipTopology,
  type Report,
  type Reporter,
} from '@catkinwheel/coordination/routing';
import type { Clock, Milliseconds } from '@catkinwheel/state';
import type { Policy } from './policy.js';

/** One way between two routers of a data centre, and of different ones. */
const nearWay: Milliseconds = 1;
const farWay: Milliseconds = 2;
/** Speed of the VMs, in cores. It only matters that all have the same. */
const capacity = 1;

/** A router that tells others and hears them. */
export interface Station {
  readonly name: string;
  readonly dataCentre: string;
  readonly policy: Policy;
  readonly isUp: boolean;
}

/** What a router sends; `group` tells of the other routers of its data centre if `report` is their sum. */
interface Message {
  readonly from: Member;
  readonly report: Report;
  readonly group: readonly { readonly member: Member; readonly age: Milliseconds }[] | undefined;
}

/** The exchange of reports between all routers of an emulated fleet. */
export class Exchange {
  readonly #members = new Map<string, Members>();
  #stations: readonly Station[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  /** `signal` ends the exchange. */
  static create(clock: Clock, signal: AbortSignal): Exchange {
    return new Exchange(clock, signal);
  }

  /** Begins the exchange between routers that have all heard one another. */
  start(stations: readonly Station[]): void {
    this.#stations = stations;
    for (const station of stations) {
      const members = this.#meetNobody(station);
      for (const other of stations) members.recordHeartbeat(memberOf(other));
      void this.#run(station);
    }
  }

  /** The router has started anew: it knows the names of all routers and tells each of them that it runs. */
  restart(station: Station): void {
    this.#meetNobody(station);
    const message: Message = { from: memberOf(station), report: copyOf(station), group: undefined };
    for (const other of this.#stations) if (other !== station) this.#send(station, other, message);
  }

  #meetNobody(station: Station): Members {
    const members = Members.create(this.clock, station.name, capacity);
    for (const other of this.#stations) members.register(other.name, { ip: other.name, capacity });
    this.#members.set(station.name, members);
    return members;
  }

  async #run(station: Station): Promise<void> {
    const index = this.#stations.indexOf(station);
    const first = gossipInterval(this.#neighbours(station), false);
    // Routers do not send at the same moment.
    await this.clock.sleep(Math.round((first * index) / this.#stations.length), this.signal);
    while (!this.signal.aborted) {
      const neighbours = this.#neighbours(station);
      if (station.isUp) this.#tell(station, neighbours);
      await this.clock.sleep(gossipInterval(neighbours, false), this.signal);
    }
  }

  #tell(
    station: Station,
    { directPeers: mates, isHierarchical: isGrouped, representatives }: GossipTopology,
  ): void {
    const from = memberOf(station);
    const own: Message = { from, report: copyOf(station), group: undefined };
    for (const mate of this.#stationsOf(mates)) this.#send(station, mate, own);
    if (!isGrouped || representatives === undefined) return;
    const members = this.#membersOf(station);
    const group = mates.map((member) => ({ member, age: members.heartbeatAge(member.name) }));
    const sum: Message = { from, report: station.policy.summary(), group };
    for (const other of this.#stationsOf(representatives)) this.#send(station, other, sum);
  }

  #send(from: Station, to: Station, message: Message): void {
    const way = from.dataCentre === to.dataCentre ? nearWay : farWay;
    void this.clock.sleep(way, this.signal).then(() => {
      if (to.isUp && !this.signal.aborted) this.#take(from, to, message);
    });
  }

  #take(sender: Station, station: Station, message: Message): void {
    const { from, report, group } = message;
    const members = this.#membersOf(station);
    members.recordHeartbeat(from);
    for (const { member, age } of group ?? []) members.recordHeartbeat(member, age);
    const reporter: Reporter =
      group === undefined
        ? { kind: 'router', name: from.name }
        : { kind: 'dataCentre', name: from.dataCentre };
    const neighbours = this.#neighbours(station);
    const isOwnGroup = from.dataCentre === station.dataCentre;
    if (!acceptsReport(neighbours, reporter.kind, isOwnGroup)) return;
    station.policy.hear(reporter, report);
    const isFirstHand = sender.name === from.name;
    if (group === undefined || !isFirstHand || neighbours.representatives === undefined) return;
    for (const mate of this.#stationsOf(neighbours.directPeers)) this.#send(station, mate, message);
  }

  #neighbours(station: Station): GossipTopology {
    const members = this.#membersOf(station);
    return gossipTopologyOf(memberOf(station), members.alive(), members.names().length);
  }

  #membersOf(station: Station): Members {
    return this.#members.get(station.name) ?? this.#meetNobody(station);
  }

  #stationsOf(members: readonly Member[]): readonly Station[] {
    const names = new Set(members.map(({ name }) => name));
    return this.#stations.filter(({ name }) => names.has(name));
  }
}

function memberOf({ name, dataCentre }: Station): Member {
  const state = { isLeaving: false, capacity, used: 0, isIdle: false, storeAge: 0 };
  return { name, ip: name, dataCentre, ...state };
}

/** What a router tells does not change after it was sent. */
function copyOf({ policy }: Station): Report {
  const report = policy.report();
  return { ...report, loads: new Map(report.loads), waiting: new Map(report.waiting) };
}
