// Many large request bodies at once. They are buffered, and share one budget taken from the memory of the process.

import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { setTimeout as pause } from 'node:timers/promises';
import { call, type CallResult } from './caller.js';
import { StackFleet, desiredStateOf, freePorts, names } from './fleet.js';
import { RouterProcess } from './routerProcess.js';

/** The limit of the desired state on a body. */
const bodyBytes = 4 * 1024 * 1024;
const uploadCount = 60;
/** Memory that the settings state, in bytes. */
const statedMemory = 350 * 1024 * 1024;
/** Time for which servers keep a request, so that all uploads are under way at once. */
const workTime = 1_500;

let fleet: StackFleet;
let folder: string;
let router: RouterProcess;
let sent = 0;

before(async () => {
  fleet = await StackFleet.start();
  fleet.store.put('op', 'config', desiredStateOf(2, { limits: { maxBodyBytes: bodyBytes } }));
  folder = mkdtempSync(join(tmpdir(), 'catkinwheel-'));
  const [link = 0, callers = 0, ready = 0, control = 0, directory = 0] = await freePorts(5);
  const ports = { link, callers, ready, control, directory };
  const place = { ip: '127.0.0.2', ports, dataCentre: 'suva', store: fleet.store.address };
  // The heap limits of the deploy file.
  const nodeOptions = ['--max-old-space-size=160', '--max-semi-space-size=4'];
  const options = { ...place, seeds: [], folder, grace: 1_000, nodeOptions };
  router = RouterProcess.create('router-1', options);
  router.start();
  await router.ready();
  await pause(600);
});

after(async () => {
  await router.kill();
  await fleet.close();
  rmSync(folder, { recursive: true });
});

function charge(body: string, agent?: Agent): Promise<CallResult> {
  sent += 1;
  const id = `upload-${sent}`;
  const kept = agent === undefined ? {} : { agent };
  const request = { path: '/charges/1', method: 'POST', host: names.host, id, body };
  return call({ address: router.callers, timeLeft: 10_000, ...request, ...kept });
}

// Guards against LOST: a process that exceeds its memory is ended, with the requests of all its callers.
test('uploads beyond the budget are refused as not run, and the router stays within its memory', async () => {
  for (const server of fleet.desks) server.answerPause = workTime;
  let largest = 0;
  const timer = setInterval(() => {
    largest = Math.max(largest, router.memory());
  }, 10);
  const body = 'x'.repeat(bodyBytes);
  const results = await Promise.all(Array.from({ length: uploadCount }, () => charge(body)));
  clearInterval(timer);
  for (const server of fleet.desks) server.answerPause = 0;
  const peak = `memory of ${(largest / 1_048_576).toFixed(0)} MB`;
  assert.ok(largest < statedMemory, peak);
  const refused = results.filter(({ status }) => status === 503);
  assert.ok(refused.length > 0);
  for (const { headers } of refused) assert.ok(Number(headers['retry-after']) > 0);
  const served = results.filter(({ status, isWhole }) => status === 200 && isWhole);
  const statuses = results.map(({ status }) => status);
  assert.equal(served.length + refused.length, uploadCount, statuses.join());
  assert.ok(served.length >= 5, `${served.length} served, ${peak}`);
  const ran = fleet.desks.reduce((sum, server) => sum + server.ran.length, 0);
  assert.equal(ran, served.length);
});

// Guards against a budget that leaks, and against a connection that is stuck in a body which nobody reads.
test('after refused uploads, their connections and the whole budget can be used again', async () => {
  for (const server of fleet.desks) server.answerPause = workTime;
  const agents = Array.from({ length: uploadCount }, () => new Agent({ keepAlive: true }));
  const body = 'x'.repeat(bodyBytes);
  await Promise.all(agents.map((agent) => charge(body, agent)));
  for (const server of fleet.desks) server.answerPause = 0;
  for (const agent of agents) {
    assert.equal((await charge('small', agent)).status, 200);
    assert.equal((await charge(body, agent)).status, 200);
    agent.destroy();
  }
});
