// The command `soak`: random load and random faults, decided by a seed, and the promises checked
// during and after them. Exit code 1 on any violation.

import sade from 'sade';
import type { Milliseconds } from '@catkinwheel/state';
import { counted } from './control.js';
import { chooseFault, type Fault } from './faults.js';
import { Fleet } from './fleet.js';
import { Load, type TeamLoad } from './load.js';
import { magnitude, randomFrom, type Random } from './random.js';
import { clock } from './scenario.js';
import type { FleetSpec, TeamSpec } from './spec.js';

/** Time between two faults, at random within these. */
const quietLeast: Milliseconds = 300;
const quietMost: Milliseconds = 1_200;
/** Duration of a fault, at random within these. */
const faultLeast: Milliseconds = 200;
const faultMost: Milliseconds = 5_000;
/** Faults under way at once. */
const maxFaults = 3;
const checkPeriod: Milliseconds = 300;
/** Time that everything admitted may take to end after the last fault is healed. */
const finishWithin: Milliseconds = 30_000;

const usual = { maxWait: 15_000, maxRun: 20_000 };
const interactive = { ...usual, service: 'letters', class: 'interactive' } as const;
const pays = { ...usual, service: 'desk', class: 'interactive', idempotent: false } as const;

/** Entries whose requests must run at most once. */
const onceEntries = ['once', 'paid'];

const teams: readonly TeamSpec[] = [
  { name: 'readers', weight: 1, entries: { read: { ...interactive, idempotent: true } } },
  { name: 'writers', weight: 2, entries: { chat: { ...interactive, idempotent: true } } },
  { name: 'notaries', weight: 1, entries: { once: { ...interactive, idempotent: false } } },
  { name: 'payers', weight: 1, entries: { paid: pays } },
];

const spec: FleetSpec = {
  dataCentres: ['suva', 'nadi', 'labasa'],
  routers: 4,
  services: [
    { kind: 'model', name: 'letters', servers: 4, settings: { cold: 2, warm: 8, rate: 200 } },
    { kind: 'plain', name: 'desk', servers: 2, settings: { cold: 2, warm: 8 } },
  ],
  teams,
  policy: 'fair',
  relays: true,
};

function loadsFor(fleet: Fleet): readonly TeamLoad[] {
  const reach = (): readonly string[] => fleet.callerAddresses();
  const model = (random: Random): ReturnType<TeamLoad['size']> => {
    const amount = magnitude(random, 5, 500);
    return { prompt: magnitude(random, 5, 500), amount, hint: amount * 2 };
  };
  const shared = { reach, weight: 1, size: model };
  const closed = { kind: 'closed', open: 12 } as const;
  const open = { kind: 'open', perSecond: 6 } as const;
  return [
    { ...shared, team: 'readers', entry: 'read', kind: 'stream', mode: closed },
    { ...shared, team: 'writers', entry: 'chat', kind: 'chat', mode: open },
    { ...shared, team: 'notaries', entry: 'once', kind: 'stream', mode: open },
    {
      ...shared,
      team: 'payers',
      entry: 'paid',
      kind: 'payment',
      mode: { kind: 'open', perSecond: 25 },
      size: (random) => ({ prompt: 0, amount: magnitude(random, 2, 200), hint: 0 }),
      resends: true,
    },
  ];
}

/** One soak. */
class Soak {
  readonly #fleet: Fleet;
  readonly #random: Random;
  readonly #violations = new Set<string>();
  readonly #revisions = new Map<string, number>();
  readonly #busy = new Map<string, Promise<void>>();
  readonly #ended = new AbortController();
  events = 0;

  private constructor(fleet: Fleet, random: Random) {
    this.#fleet = fleet;
    this.#random = random;
  }

  static create(fleet: Fleet, seed: number): Soak {
    return new Soak(fleet, randomFrom(seed));
  }

  get violations(): readonly string[] {
    return [...this.#violations];
  }

  /** Runs faults for `time`, heals them all, and checks what is left. */
  async run(time: Milliseconds, load: Load): Promise<void> {
    const checking = this.#watch();
    const end = clock.now() + time;
    while (clock.now() < end) {
      await clock.sleep(this.#between(quietLeast, quietMost));
      this.#startFault();
    }
    await Promise.all(this.#busy.values());
    await this.#fleet.ready().catch((error: unknown) => {
      this.#violate(`a router is not ready after all faults: ${String(error)}`);
    });
    await load.finish(finishWithin);
    this.#ended.abort();
    await checking;
    this.#checkLoad(load);
  }

  #startFault(): void {
    const fault = chooseFault(this.#fleet, this.#random);
    const lasts = this.#between(faultLeast, faultMost);
    // Chosen before this check, so that the sequence depends on the seed alone.
    if (this.#busy.size >= maxFaults || this.#busy.has(fault.part)) return;
    this.events += 1;
    const running = this.#carryOut(fault, lasts).finally(() => this.#busy.delete(fault.part));
    this.#busy.set(fault.part, running);
  }

  async #carryOut(fault: Fault, lasts: Milliseconds): Promise<void> {
    console.log(`${Math.round(clock.now())} ${fault.name} for ${Math.round(lasts)} ms`);
    try {
      for (const violation of await fault.begin()) this.#violate(violation);
      await clock.sleep(lasts);
    } finally {
      await fault.heal().catch((error: unknown) => {
        this.#violate(`could not heal: ${fault.name}: ${String(error)}`);
      });
    }
  }

  async #watch(): Promise<void> {
    while (!this.#ended.signal.aborted) {
      const running = this.#fleet.routers.filter(({ child }) => child.isRunning);
      await Promise.all(running.map((router) => this.#checkRouter(router)));
      await clock.sleep(checkPeriod, this.#ended.signal);
    }
  }

  async #checkRouter(router: Fleet['routers'][number]): Promise<void> {
    const child = router.child;
    const metrics = await this.#fleet.metrics(router);
    const broken = counted(metrics, 'invariant.violation');
    if (broken > 0) this.#violate(`${router.name} counted a violated invariant`);
    const status = await this.#fleet
      .admin<{ revision?: number }>(router, 'GET', '/admin/status')
      .catch(() => undefined);
    const revision = status?.body.revision;
    // A router that was replaced between the two requests is checked in the next round.
    if (revision === undefined || child !== router.child) return;
    const key = `${router.name}/${child.ready.admin ?? ''}`;
    const before = this.#revisions.get(key) ?? 0;
    if (revision < before) this.#violate(`${router.name}: revision ${before} became ${revision}`);
    this.#revisions.set(key, Math.max(before, revision));
  }

  #checkLoad(load: Load): void {
    const { executions, overloads } = this.#fleet;
    for (const [key, count] of executions) {
      if (count > 1 && isOnce(key)) this.#violate(`${key} ran ${count} times`);
    }
    for (const record of load.records) {
      for (const key of record.notRunKeys) {
        if (executions.has(key)) this.#violate(`${key} ran, and its caller was told notRun`);
      }
      const broken = [...record.reasons].filter(([reason]) => reason.startsWith('broken'));
      for (const [reason, count] of broken) this.#violate(`${count} answers ${reason}`);
    }
    for (const overload of overloads) this.#violate(`cold overload: ${overload}`);
    if (load.unfinished > 0) this.#violate(`${load.unfinished} requests did not end`);
  }

  #violate(what: string): void {
    if (this.#violations.has(what)) return;
    this.#violations.add(what);
    console.log(`VIOLATION ${what}`);
  }

  #between(least: Milliseconds, most: Milliseconds): Milliseconds {
    return least + this.#random() * (most - least);
  }
}

function isOnce(key: string): boolean {
  return onceEntries.some((entry) => key.startsWith(`${entry}-`));
}

interface Flags {
  readonly seed: number | string;
  readonly seconds: number | string;
}

async function soak(seed: number, seconds: number): Promise<number> {
  const fleet = await Fleet.start(spec);
  try {
    const load = Load.start(loadsFor(fleet), randomFrom(seed + 1));
    const run = Soak.create(fleet, seed);
    await run.run(seconds * 1_000, load);
    console.table(load.records.map(({ load: { team }, totals }) => ({ team, ...totals })));
    for (const record of load.records) {
      for (const [reason, count] of record.reasons) {
        console.log(`${record.load.team}: ${count} times ${reason}`);
      }
    }
    const violations = run.violations.length;
    const { events } = run;
    console.log(JSON.stringify({ seed, events, requests: load.totals.sent, violations }));
    return violations === 0 ? 0 : 1;
  } finally {
    await fleet.end();
  }
}

sade('soak', true)
  .option('--seed', 'Seed of all random choices', 1)
  .option('--seconds', 'Time during which faults begin', 25)
  .action(async (flags: Flags) => {
    process.exit(await soak(Number(flags.seed), Number(flags.seconds)));
  })
  .parse(process.argv);
