// Load pattern: a fleet of 77 routers in five data centres that tell one another what they know, while
// representatives of data centres are lost. Told by each to each, 0.7 GB passed between data centres in 29 s.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock, type ManualClock } from '@catkinwheel/state';
import {
  probesSilentPeer,
  acceptsReport,
  includesIdlePeers,
  gossipTopologyOf,
  gossipInterval,
  type GossipTopology,
} from './gossipTopology.js';
import { Members, silenceLimit, type Member } from './members.js';
import { Reports, type Report, type Reporter } from './reports.js';

const interval = 170;
const load = { unread: 100, requests: 1, memory: 10 };

/** One router with a request under way at server `a`. */
class Node {
  readonly members: Members;
  readonly reports: Reports;
  neighbours: GossipTopology;
  lastToSilent = 0;

  constructor(
    clock: Clock,
    readonly self: Member,
  ) {
    this.members = Members.create(clock, self.name, 1);
    this.reports = Reports.create(clock);
    this.neighbours = gossipTopologyOf(self, [], 1);
  }

  own(): Report {
    const none = new Map<string, never>();
    return { loads: new Map([['a', load]]), teams: none, waiting: none, least: none, parts: [] };
  }
}

class Fleet {
  readonly clock: ManualClock = Clock.manual(100_000);
  readonly nodes = new Map<string, Node>();
  crossings = 0;
  datagrams = 0;

  constructor(dataCentres: number, each: number) {
    for (let dataCentre = 0; dataCentre < dataCentres; dataCentre += 1)
      for (let index = 0; index < each; index += 1) {
        const name = `r-${dataCentre}-${index + 10}`;
        const size = { capacity: 1, used: 0, isIdle: false };
        const place = { dataCentre: `dc-${dataCentre}`, isLeaving: false, storeAge: 0, ...size };
        this.nodes.set(name, new Node(this.clock, { name, ip: name, ...place }));
      }
    // All have read one another's registrations and said so once.
    for (const node of this.nodes.values())
      for (const { self } of this.nodes.values()) node.members.recordHeartbeat(self);
  }

  /** Lets time pass; every router sends once in each interval. */
  async run(duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += interval) {
      await this.clock.advance(interval);
      for (const node of this.nodes.values()) this.send(node);
      for (const node of this.nodes.values()) node.reports.expire();
    }
  }

  send(node: Node): void {
    const { members, self, reports } = node;
    node.neighbours = gossipTopologyOf(self, members.alive(), members.names().length);
    const {
      directPeers: mates,
      representatives,
      silentProbeInterval: silentInterval,
    } = node.neighbours;
    for (const mate of mates) this.deliver(node, mate.name, [], node.own());
    if (this.clock.now() - node.lastToSilent >= silentInterval) {
      node.lastToSilent = this.clock.now();
      for (const { name, dataCentre } of members.silent())
        if (probesSilentPeer(node.neighbours, dataCentre === self.dataCentre))
          this.deliver(node, name, [], node.own());
    }
    if (representatives === undefined) return;
    const group = mates.map((mate) => [mate, members.heartbeatAge(mate.name)] as const);
    const sum = reports.summary(node.own());
    for (const { name } of representatives) {
      this.deliver(node, name, group, sum);
      const there = this.nodes.get(name);
      if (there?.neighbours.representatives === undefined) continue;
      for (const mate of there.neighbours.directPeers)
        this.deliver(node, mate.name, group, sum, there);
    }
  }

  deliver(
    from: Node,
    to: string,
    group: readonly (readonly [Member, number])[],
    report: Report,
    through = from,
  ): void {
    const node = this.nodes.get(to);
    this.datagrams += 1;
    if (through.self.dataCentre !== node?.self.dataCentre) this.crossings += 1;
    if (node === undefined) return;
    node.members.recordHeartbeat(from.self);
    for (const [member, age] of group) node.members.recordHeartbeat(member, age);
    const reporter: Reporter =
      group.length === 0
        ? { kind: 'router', name: from.self.name }
        : { kind: 'dataCentre', name: from.self.dataCentre };
    const isOwnGroup = from.self.dataCentre === node.self.dataCentre;
    if (acceptsReport(node.neighbours, reporter.kind, isOwnGroup))
      node.reports.hear(reporter, report);
  }
}

test('every router of a large fleet hears of all others, and counts each load once', async () => {
  const fleet = new Fleet(5, 15);
  await fleet.run(5_000);
  for (const { members, reports, self } of fleet.nodes.values()) {
    assert.equal(members.alive().length, 74, self.name);
    assert.equal(reports.load('a').requests, 74, self.name);
  }
});

test('few datagrams of a large fleet pass between data centres', async () => {
  const fleet = new Fleet(5, 15);
  await fleet.run(2_000);
  fleet.crossings = 0;
  fleet.datagrams = 0;
  await fleet.run(1_700);
  // Each of five representatives tells four others in each of ten intervals.
  assert.equal(fleet.crossings, 10 * 5 * 4);
  assert.ok(fleet.datagrams < 75 * 15 * 10 * 2, `${fleet.datagrams}`);
});

test('representatives that are all lost at once are replaced', async () => {
  const fleet = new Fleet(3, 10);
  await fleet.run(3_000);
  for (const dataCentre of [0, 1, 2]) fleet.nodes.delete(`r-${dataCentre}-10`);
  // Their silence is noticed after 1.5 s, silent routers are told within 1 s, and that has to spread.
  await fleet.run(3_400);
  for (const { members, reports, self } of fleet.nodes.values()) {
    assert.equal(members.alive().length, 26, self.name);
    assert.equal(reports.load('a').requests, 26, self.name);
  }
});

test('in a small fleet each router tells each', () => {
  const member = (name: string): Member => {
    const size = { capacity: 1, used: 0, isIdle: false };
    return { name, ip: name, dataCentre: name, isLeaving: false, storeAge: 0, ...size };
  };
  const others = ['b', 'c', 'd'].map(member);
  const { directPeers: mates, isHierarchical: isGrouped } = gossipTopologyOf(
    member('a'),
    others,
    8,
  );
  assert.deepEqual([mates, isGrouped], [others, false]);
});

// Guards against members that flap: idle routers told one another every 1.5 s, just when they began to count as silent.
test('a router of a large fleet hears its mates three times before they count as silent, idle or not', () => {
  const mates = Array.from({ length: 20 }, (_, index): Member => {
    const state = { isLeaving: false, capacity: 0.3, used: 0, isIdle: true, storeAge: 0 };
    return { name: `r${index}`, ip: `r${index}`, dataCentre: 'a', ...state };
  });
  const self = { name: 'z', dataCentre: 'a', isLeaving: false, capacity: 0.3 };
  const neighbours = gossipTopologyOf(self, mates, 77);
  for (const isIdle of [true, false]) {
    const interval = gossipInterval(neighbours, isIdle);
    let [now, last, longest] = [0, 0, 0];
    for (let round = 0; round < 100; round += 1) {
      now += interval;
      if (!includesIdlePeers(now - last, interval)) continue;
      longest = Math.max(longest, now - last);
      last = now;
    }
    assert.ok(
      3 * longest <= silenceLimit + interval,
      `told every ${longest} ms, idle ${String(isIdle)}`,
    );
  }
});
