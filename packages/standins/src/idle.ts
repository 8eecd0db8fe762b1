// Idle: the processor time of a router that has no request, in a data centre with many others. In a large fleet
// nearly all routers are idle, and what they cost together decides how many of them a machine or a site bears.

import { mkdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import type { Milliseconds } from '@catkinwheel/state';
import { rounded } from './arithmetic.js';
import { clock, type Measure, type MeasureOptions } from './scenario.js';
import { desiredStateOf, freePorts, names } from './stack/fleet.js';
import { RouterProcess, type ProcessorTime } from './stack/routerProcess.js';
import { StackStore } from './stack/store.js';

/** Bound of a node for control at the size to come, in cores. */
const target = 0.014;
/** Routers of the largest published data centre. */
const routerCount = 21;
/** Servers that are registered; 61 to 77 routers of the grown deployments have 60 to 70. */
const serverCount = 60;
/** Time in which the routers of a new fleet have heard one another and compiled what they run often. */
const settling: Milliseconds = 10_000;
const grace: Milliseconds = 4_000;
/** As the deployment runs them. */
const nodeOptions = ['--max-old-space-size=160', '--max-semi-space-size=4'];
const folder = join('target', 'idle');

/** What differs from one comparison to the next. */
export interface IdleOptions extends MeasureOptions {
  /** File of the router's program; the built one if left out. */
  readonly program: string | undefined;
  /** Folder for processor profiles of the last router of each fleet; none are made if left out. */
  readonly profile: string | undefined;
}

/** Lets a fleet idle and takes the mean processor time of its routers; the baseline is a fleet of one. */
export async function idle(options: IdleOptions): Promise<Measure> {
  rmSync(folder, { recursive: true, force: true });
  mkdirSync(folder, { recursive: true });
  const [many, one] = await Promise.all([
    makeFleet(routerCount, 1, options),
    makeFleet(1, 2, options),
  ]);
  await clock.sleep(settling);
  const begin = clock.now();
  const before = [...many.routers, ...one.routers].map((router) => router.processorTime());
  await clock.sleep(options.seconds * 1_000);
  const span = clock.now() - begin;
  const after = [...many.routers, ...one.routers].map((router) => router.processorTime());
  const cores = after.map((time, index) => coresOf(before[index] ?? time, time, span));
  const memory = Math.max(...many.routers.map((router) => router.memory())) / 1024 ** 2;
  await Promise.all([close(many), close(one)]);
  const [alone, mates] = [cores.slice(routerCount), cores.slice(0, routerCount)];
  const most = Math.max(...mates.map(total));
  const parts = `user ${mean(mates, ({ user }) => user).toFixed(4)}, at most ${most.toFixed(4)}`;
  console.log(`cores of a router: ${mean(mates, total).toFixed(4)} (${parts})`);
  console.log(`memory of a router: at most ${memory.toFixed(0)} MB`);
  return {
    name: 'idle',
    seed: options.seed,
    target,
    value: rounded(mean(mates, total)),
    baseline: rounded(mean(alone, total)),
    unit: 'cores',
  };
}

interface IdleFleet {
  readonly store: StackStore;
  readonly routers: readonly RouterProcess[];
}

/** Starts `count` routers in the subnet of that number, and a store that names servers. */
async function makeFleet(count: number, subnet: number, options: IdleOptions): Promise<IdleFleet> {
  const store = await StackStore.start();
  store.put('op', 'config', desiredStateOf(1));
  for (let index = 1; index <= serverCount; index += 1)
    store.put('servers', `server-${index}`, entry(index));
  const [link = 0, callers = 0, ready = 0, control = 0, directory = 0] = await freePorts(5);
  const ports = { link, callers, ready, control, directory };
  const ipOf = (index: number): string => `127.1.${subnet}.${index + 1}`;
  const seeds = [0, 1, 2].slice(0, count).map((index) => `${ipOf(index)}:${control}`);
  const routers = Array.from({ length: count }, (_, index) =>
    RouterProcess.create(`router-${subnet}-${index}`, {
      ip: ipOf(index),
      ports,
      dataCentre: 'suva',
      store: store.address,
      seeds,
      folder,
      grace,
      capacity: 0.3,
      nodeOptions: [...nodeOptions, ...(index === count - 1 ? profiling(options) : [])],
      ...(options.program === undefined ? {} : { program: options.program }),
    }),
  );
  for (const router of routers) router.start();
  await Promise.all(routers.map((router) => router.ready()));
  return { store, routers };
}

function profiling({ profile }: IdleOptions): readonly string[] {
  return profile === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${profile}`];
}

async function close({ store, routers }: IdleFleet): Promise<void> {
  await Promise.all(routers.map((router) => router.stop()));
  await store.close();
}

/** A registration as a server writes it; no request is sent there. */
function entry(index: number): unknown {
  return {
    service: index % 3 === 0 ? names.desk : names.model,
    address: `127.2.0.${index}:9000`,
    zone: index % 2 === 0 ? 'suva' : 'nadi',
    version: 'v1',
    slots: 6,
    state: 'ready',
    warmupLeftMs: 0,
    sequence: 1,
    born: 1,
  };
}

function coresOf(before: ProcessorTime, after: ProcessorTime, span: Milliseconds): ProcessorTime {
  return {
    user: (after.user - before.user) / span,
    system: (after.system - before.system) / span,
  };
}

function total({ user, system }: ProcessorTime): number {
  return user + system;
}

function mean(times: readonly ProcessorTime[], of: (time: ProcessorTime) => number): number {
  return times.reduce((sum, time) => sum + of(time), 0) / times.length;
}
