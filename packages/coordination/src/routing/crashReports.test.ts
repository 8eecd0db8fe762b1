// Load pattern: many servers end within a second, and each router of a large fleet reports each end, again and again.

import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Clock } from '@catkinwheel/state';
import { CrashReports, type CrashReport } from './crashReports.js';

/** Reports of `routers` routers on the ends of `servers` servers, one after the other. */
function reportsOf(routers: number, servers: number): readonly CrashReport[] {
  return Array.from({ length: routers * servers }, (_, index) => ({
    reporter: `router-${index % routers}`,
    server: { id: `server-${Math.floor(index / routers)}`, address: '10.0.0.1:80', born: 1 },
    at: Math.floor(index / routers),
    isConfirmed: true,
    parts: [],
  }));
}

// Guards against FAIR of issue 42: reports that had been dropped for lack of room were news each time they came, and took the processor
// time of small VMs for as long as they counted.
test('a report that was dropped for lack of room is no news when it comes again', () => {
  const reports = CrashReports.create(Clock.manual(1_000), 'own');
  const all = reportsOf(60, 47);
  for (const report of all) reports.receive(report);
  assert.equal(all.filter((report) => reports.receive(report)).length, 0);
  assert.ok(reports.ends().length > 0);
});

test('reports of later ends take the place of those of earlier ones', () => {
  const reports = CrashReports.create(Clock.manual(1_000), 'own');
  for (const report of reportsOf(60, 47)) reports.receive(report);
  const latest = reports.ends().at(-1);
  assert.equal(latest?.at, 46);
});
