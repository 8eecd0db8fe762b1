// Guards the sharing of load between routers when all callers of a team use one router and ask for more than its
// VM can forward.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { randomSequence } from './fixtures.test.js';
import type { FleetUsage } from './intake.js';
import {
  handoverScope,
  includesTeam,
  selectHandoverTarget,
  type HandoverTarget,
  type ProcessorLoad,
} from './connectionHandover.js';

const source = {
  dataCentre: 'suva',
  regionOf: { suva: 'viti-levu', nadi: 'viti-levu', labasa: 'vanua-levu' },
};

function router(name: string, changes: Partial<HandoverTarget> = {}): HandoverTarget {
  return {
    name,
    capacity: 1,
    used: 0.1,
    dataCentre: 'suva',
    isLeaving: false,
    ...changes,
  };
}

const received: Readonly<Record<string, number>> = {
  best: 6_000_000,
  served: 4_000_000,
  starved: 1_000_000,
};
const usage: FleetUsage = {
  received: (team) => received[team] ?? 0,
  mostReceived: () => 6_000_000,
};

function using(used: number): ProcessorLoad {
  return { used, isQueueStanding: false };
}

test('a router hands connections over only while its VM has little processor time left', () => {
  assert.equal(handoverScope(using(0.4), 1, 'none'), 'none');
  assert.equal(handoverScope(using(0.98), 1, 'none'), 'allTeams');
  assert.deepEqual(
    [
      handoverScope(using(0.7), 1, 'none'),
      handoverScope(using(0.7), 1, 'allTeams'),
      handoverScope(using(0.7), 0, 'owedTeams'),
      handoverScope(using(0.4), 1, 'allTeams'),
    ],
    ['none', 'allTeams', 'owedTeams', 'none'],
  );
});

// Guards against FAIR of issue 47: a router that refused requests for want of processor time handed none over for 1.5 s, since its VM
// seemed to have some left.
test('a router hands connections over while requests wait for processor time, whatever its VM uses', () => {
  const load = { used: 0.58, isQueueStanding: true };
  assert.equal(handoverScope(load, 1, 'none'), 'allTeams');
  assert.equal(handoverScope(load, 0.1, 'allTeams'), 'owedTeams');
});

// Guards against delaying the requests of all teams by a flood that no server has room for.
test('a flood stays at the router where it arrives while servers have no room', () => {
  const scope = handoverScope(using(0.98), 0.1, 'allTeams');
  assert.equal(includesTeam(scope, 'best', usage), false);
  assert.equal(includesTeam(handoverScope(using(0.98), 0.5, scope), 'best', usage), true);
});

// Guards against FAIR of issue 47: a team that is owed service was kept at a router without processor time while servers were full.
test('a team that is owed service is handed over while servers have no room, until it has its share', () => {
  const scope = handoverScope(using(0.98), 0.1, 'none');
  assert.equal(includesTeam(scope, 'starved', usage), true);
  assert.equal(includesTeam(scope, 'served', usage), false);
  assert.equal(includesTeam('none', 'starved', usage), false);
});

// Guards against a load that saturates one small VM, then the next and so on, at the cost of other teams (issue 21).
test('connections are distributed by the spare processor time of routers', () => {
  const others = [
    router('idle', { capacity: 1.35, used: 0.05 }),
    router('small', { capacity: 0.324, used: 0.05 }),
    router('busy', { used: 0.7 }),
  ];
  const counts = new Map<string, number>();
  const random = randomSequence();
  for (let index = 0; index < 1_000; index += 1) {
    const name = selectHandoverTarget(source, others, random)?.name ?? 'none';
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  const [idle = 0, small = 0] = [counts.get('idle'), counts.get('small')];
  assert.equal(idle + small, 1_000);
  // The spare capacities are 0.76 and 0.14 cores.
  assert.ok(small > 100 && small < 220, `${small} of 1000 to the small VM`);
});

// Guards against a flood that many routers each send to the same servers before they learn of each other's requests.
test('connections are handed over to the large VMs of a mixed fleet while those have room', () => {
  const large = [1, 2, 3, 4].map((number) => router(`large-${number}`, { capacity: 1.35 }));
  const small = Array.from({ length: 50 }, (_, index) => {
    return router(`small-${index}`, { capacity: 0.324, used: 0.01 });
  });
  const random = randomSequence();
  for (let index = 0; index < 100; index += 1)
    assert.match(selectHandoverTarget(source, [...small, ...large], random)?.name ?? '', /^large/);
});

test('connections stay in the region', () => {
  const far = router('far', { dataCentre: 'nadi' });
  const abroad = router('abroad', { dataCentre: 'labasa' });
  const random = (): number => 0.5;
  assert.equal(selectHandoverTarget(source, [far, abroad], random), far);
  assert.equal(selectHandoverTarget(source, [abroad], random), undefined);
});

test('no connection is handed over to a router that is leaving, or if all are busy', () => {
  const others = [router('leaving', { isLeaving: true }), router('busy', { used: 0.9 })];
  const random = (): number => 0;
  const nobody: readonly HandoverTarget[] = [];
  assert.equal(selectHandoverTarget(source, others, random), undefined);
  assert.equal(selectHandoverTarget(source, nobody, random), undefined);
});
