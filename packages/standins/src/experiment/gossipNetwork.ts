// Exchanges load reports between emulated routers as the product does: in a small fleet each router sends to all
// others, in a large one the representatives of the data centres exchange summaries.

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

/** One-way network delays between two routers in the same data centre, and in different ones. */
const sameDataCentreDelay: Milliseconds = 1;
const crossDataCentreDelay: Milliseconds = 2;
/** Speed of each VM in cores. Any value will do as long as all VMs have the same one. */
const capacity = 1;

/** A router that sends reports to others and receives theirs. */
export interface GossipNode {
  readonly name: string;
  readonly dataCentre: string;
  readonly policy: Policy;
  readonly isUp: boolean;
}

/**
 * A report from one router to another. If `report` is the summary of a data centre, `dataCentreMembers` lists the
 * other routers of that data centre with the age of their last heartbeat; otherwise it is undefined.
 */
interface GossipMessage {
  readonly from: Member;
  readonly report: Report;
  readonly dataCentreMembers:
    readonly { readonly member: Member; readonly age: Milliseconds }[] | undefined;
}

/** Carries the reports between all routers of an emulated fleet. */
export class GossipNetwork {
  readonly #members = new Map<string, Members>();
  #nodes: readonly GossipNode[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  /** `signal` stops all sending and delivery. */
  static create(clock: Clock, signal: AbortSignal): GossipNetwork {
    return new GossipNetwork(clock, signal);
  }

  /** Starts sending. Each router begins with a heartbeat recorded from every other one. */
  start(nodes: readonly GossipNode[]): void {
    this.#nodes = nodes;
    for (const node of nodes) {
      const members = this.#createMembers(node);
      for (const other of nodes) members.recordHeartbeat(memberOf(other));
      void this.#run(node);
    }
  }

  /** Resets a restarted router: it knows only the names of the other routers, and sends each of them a report. */
  restart(node: GossipNode): void {
    this.#createMembers(node);
    const message: GossipMessage = {
      from: memberOf(node),
      report: reportSnapshotOf(node),
      dataCentreMembers: undefined,
    };
    for (const other of this.#nodes) if (other !== node) this.#send(node, other, message);
  }

  #createMembers(node: GossipNode): Members {
    const members = Members.create(this.clock, node.name, capacity);
    for (const other of this.#nodes) members.register(other.name, { ip: other.name, capacity });
    this.#members.set(node.name, members);
    return members;
  }

  async #run(node: GossipNode): Promise<void> {
    const index = this.#nodes.indexOf(node);
    const firstInterval = gossipInterval(this.#topologyOf(node), false);
    // Spreads the sending of the routers over the interval.
    await this.clock.sleep(Math.round((firstInterval * index) / this.#nodes.length), this.signal);
    while (!this.signal.aborted) {
      const topology = this.#topologyOf(node);
      if (node.isUp) this.#sendReports(node, topology);
      await this.clock.sleep(gossipInterval(topology, false), this.signal);
    }
  }

  #sendReports(
    node: GossipNode,
    { directPeers, isHierarchical, representatives }: GossipTopology,
  ): void {
    const from = memberOf(node);
    const own: GossipMessage = {
      from,
      report: reportSnapshotOf(node),
      dataCentreMembers: undefined,
    };
    for (const peer of this.#nodesOf(directPeers)) this.#send(node, peer, own);
    if (!isHierarchical || representatives === undefined) return;
    const members = this.#membersOf(node);
    const dataCentreMembers = directPeers.map((member) => ({
      member,
      age: members.heartbeatAge(member.name),
    }));
    const summary: GossipMessage = { from, report: node.policy.summary(), dataCentreMembers };
    for (const other of this.#nodesOf(representatives)) this.#send(node, other, summary);
  }

  #send(from: GossipNode, to: GossipNode, message: GossipMessage): void {
    const delay = from.dataCentre === to.dataCentre ? sameDataCentreDelay : crossDataCentreDelay;
    void this.clock.sleep(delay, this.signal).then(() => {
      if (to.isUp && !this.signal.aborted) this.#receive(from, to, message);
    });
  }

  #receive(sender: GossipNode, node: GossipNode, message: GossipMessage): void {
    const { from, report, dataCentreMembers } = message;
    const members = this.#membersOf(node);
    members.recordHeartbeat(from);
    for (const { member, age } of dataCentreMembers ?? []) members.recordHeartbeat(member, age);
    const reporter: Reporter =
      dataCentreMembers === undefined
        ? { kind: 'router', name: from.name }
        : { kind: 'dataCentre', name: from.dataCentre };
    const topology = this.#topologyOf(node);
    const isSameDataCentre = from.dataCentre === node.dataCentre;
    if (!acceptsReport(topology, reporter.kind, isSameDataCentre)) return;
    node.policy.hear(reporter, report);
    const isFromOrigin = sender.name === from.name;
    if (dataCentreMembers === undefined || !isFromOrigin || topology.representatives === undefined)
      return;
    for (const peer of this.#nodesOf(topology.directPeers)) this.#send(node, peer, message);
  }

  #topologyOf(node: GossipNode): GossipTopology {
    const members = this.#membersOf(node);
    return gossipTopologyOf(memberOf(node), members.alive(), members.names().length);
  }

  #membersOf(node: GossipNode): Members {
    return this.#members.get(node.name) ?? this.#createMembers(node);
  }

  #nodesOf(members: readonly Member[]): readonly GossipNode[] {
    const names = new Set(members.map(({ name }) => name));
    return this.#nodes.filter(({ name }) => names.has(name));
  }
}

function memberOf({ name, dataCentre }: GossipNode): Member {
  const state = { isLeaving: false, capacity, used: 0, isIdle: false, storeAge: 0 };
  return { name, ip: name, dataCentre, ...state };
}

/** A copy, so that a report does not change after it was sent. */
function reportSnapshotOf({ policy }: GossipNode): Report {
  const report = policy.report();
  return { ...report, loads: new Map(report.loads), waiting: new Map(report.waiting) };
}
