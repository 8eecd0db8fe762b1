// The faults of the soak: each begins, lasts a while and is healed. What happens, to whom and for
// how long comes from the seed alone.

import { clock } from './scenario.js';
import type { EngineControl } from './engine.js';
import type { Fleet, RouterHandle, ServerHandle } from './fleet.js';
import { call } from './http.js';
import type { PlainControl } from './plain.js';
import type { PlatformControl } from './platform.js';
import { oneOf, type Random } from './random.js';

/** Something that goes wrong. */
export interface Fault {
  /** What happens, for the log. */
  readonly name: string;
  /** The part that fails; no second fault is begun on it meanwhile. */
  readonly part: string;
  /** Begins the fault; the violations that it finds are part of the result. */
  readonly begin: () => Promise<readonly string[]>;
  readonly heal: () => Promise<void>;
}

const nothing = (): Promise<void> => Promise.resolve();
const none = (): Promise<readonly string[]> => Promise.resolve([]);

/** Kinds of faults that a soak chooses from. */
const kinds: readonly ((fleet: Fleet, random: Random) => Fault)[] = [
  killRouter,
  stopRouter,
  freezeRouter,
  partition,
  cutFromPlatform,
  silenceLinks,
  platformFault,
  killServer,
  engineFault,
  engineFault,
  plainFault,
  plainFault,
  vmLeaves,
  dataCentreLeaves,
  operatorsRace,
];

/** The next fault that `random` decides. */
export function chooseFault(fleet: Fleet, random: Random): Fault {
  return oneOf(random, kinds)(fleet, random);
}

function killRouter(fleet: Fleet, random: Random): Fault {
  const router = oneOf(random, fleet.routers);
  return {
    name: `kill ${router.name}`,
    part: router.name,
    begin: () => router.child.kill().then(none),
    heal: () => fleet.restartRouter(router),
  };
}

/** Time for a graceful stop: the directory time, the longest run of an entry, and some slack. */
const stopWithin = 30_000;

function stopRouter(fleet: Fleet, random: Random): Fault {
  const router = oneOf(random, fleet.routers);
  let stopped: Promise<number | null> = Promise.resolve(0);
  return {
    name: `stop ${router.name}`,
    part: router.name,
    begin: () => {
      stopped = router.child.stop();
      return none();
    },
    heal: async () => {
      const code = await Promise.race([stopped, clock.sleep(stopWithin).then(() => 'late')]);
      const output = router.child.output;
      if (code === 'late') await router.child.kill();
      await fleet.restartRouter(router);
      if (code !== 0) throw new Error(`exit ${String(code)}:\n${output}`);
    },
  };
}

function freezeRouter(fleet: Fleet, random: Random): Fault {
  const router = oneOf(random, fleet.routers);
  return {
    name: `freeze ${router.name}`,
    part: router.name,
    begin: () => {
      router.child.freeze();
      return none();
    },
    heal: () => {
      router.child.thaw();
      return nothing();
    },
  };
}

/** Cuts a router off from all others in both directions, from one of them, or in one direction. */
function partition(fleet: Fleet, random: Random): Fault {
  const router = oneOf(random, fleet.routers);
  const rule = oneOf(random, ['cut', 'drop'] as const);
  const isOneWay = random() < 0.3;
  const all = fleet.routers.filter((other) => other !== router);
  const others = random() < 0.5 ? all : [oneOf(random, all)];
  const apply = (to: 'pass' | 'cut' | 'drop'): void => {
    for (const other of others) {
      other.peers?.rule(to, router.name);
      if (!isOneWay) router.peers?.rule(to, other.name);
    }
  };
  const names = others.map((other) => other.name).join(' ');
  return {
    name: `${rule} links of ${router.name} ${isOneWay ? 'to' : 'with'} ${names}`,
    part: router.name,
    begin: () => {
      apply(rule);
      return none();
    },
    heal: () => {
      apply('pass');
      return nothing();
    },
  };
}

function cutFromPlatform(fleet: Fleet, random: Random): Fault {
  const router = oneOf(random, fleet.routers);
  const rule = oneOf(random, ['cut', 'drop'] as const);
  return {
    name: `${rule} ${router.name} from the platform`,
    part: router.name,
    begin: () => {
      router.platform?.rule(rule);
      return none();
    },
    heal: () => {
      router.platform?.rule('pass');
      return nothing();
    },
  };
}

function silenceLinks(fleet: Fleet, random: Random): Fault {
  const router = oneOf(random, fleet.routers);
  return {
    name: `silence open links to ${router.name}`,
    part: router.name,
    begin: () => {
      router.peers?.silence();
      router.platform?.silence();
      return none();
    },
    heal: nothing,
  };
}

function platformFault(fleet: Fleet, random: Random): Fault {
  const faults: readonly PlatformControl[] = [
    { outage: 'refuse' },
    { outage: 'hang' },
    { slow: 400 },
    { loseAnswers: 0.3 },
  ];
  const fault = oneOf(random, faults);
  return {
    name: `platform ${JSON.stringify(fault)}`,
    part: 'platform',
    begin: () => fleet.faults(fault).then(none),
    heal: () => fleet.faults({ outage: 'none', slow: 0, loseAnswers: 0 }),
  };
}

function killServer(fleet: Fleet, random: Random): Fault {
  const server = oneOf(random, fleet.servers);
  return {
    name: `kill ${server.name}`,
    part: server.name,
    begin: () => server.child.kill().then(none),
    heal: () => fleet.restartServer(server),
  };
}

function engineFault(fleet: Fleet, random: Random): Fault {
  const engines = fleet.servers.filter(({ service }) => service.kind === 'model');
  const faults: readonly EngineControl[] = [
    { cold: true },
    { restart: true },
    { silent: true },
    { cut: true },
    { crossed: 3 },
  ];
  return serverFault(oneOf(random, engines), oneOf(random, faults), {});
}

function plainFault(fleet: Fleet, random: Random): Fault {
  const plains = fleet.servers.filter(({ service }) => service.kind === 'plain');
  const faults: readonly PlainControl[] = [
    { cutBefore: 2 },
    { cutAfter: 2 },
    { cutWithin: 2 },
    { crossed: 2 },
    { silent: true },
    { slow: 300 },
    { cold: true },
    { restart: true },
  ];
  return serverFault(oneOf(random, plains), oneOf(random, faults), { slow: 0 });
}

function serverFault(
  server: ServerHandle,
  fault: EngineControl | PlainControl,
  healed: PlainControl,
): Fault {
  const send = async (control: object): Promise<void> => {
    await call('POST', `http://${server.child.ready.control ?? ''}/control`, control);
  };
  return {
    name: `${server.name} ${JSON.stringify(fault)}`,
    part: server.name,
    begin: () => send(fault).then(none),
    heal: () => send(healed),
  };
}

function vmLeaves(fleet: Fleet, random: Random): Fault {
  const server = oneOf(random, fleet.servers);
  return {
    name: `${server.vm} leaves`,
    part: 'vms',
    begin: () => fleet.setVm(server.vm, 'leaving').then(none),
    heal: () => fleet.setVm(server.vm, 'live'),
  };
}

function dataCentreLeaves(fleet: Fleet, random: Random): Fault {
  const dataCentre = oneOf(random, fleet.spec.dataCentres);
  return {
    name: `drain ${dataCentre}`,
    part: 'catalogue',
    begin: () => change(fleet, 'drain', dataCentre).then(none),
    heal: () => change(fleet, 'restore', dataCentre),
  };
}

const changeTries = 20;

/** Changes the drain by any router that takes it; a router may be down or the platform away. */
async function change(fleet: Fleet, action: string, dataCentre: string): Promise<void> {
  for (let attempt = 0; attempt < changeTries; attempt += 1) {
    for (const router of fleet.routers.filter(({ child }) => child.isRunning)) {
      const status = await statusOf(fleet, router, 'POST', `/admin/${action}`, { dataCentre });
      if (status < 300) return;
    }
    await clock.sleep(500);
  }
}

/** Two operators change the same revision through two routers; at most one may win. */
function operatorsRace(fleet: Fleet): Fault {
  return {
    name: 'two operators race',
    part: 'catalogue',
    begin: async () => {
      const running = fleet.routers.filter(({ child }) => child.isRunning);
      const [one] = running;
      if (one === undefined) return [];
      const current = await fleet
        .admin<{ revision: number }>(one, 'GET', '/admin/catalogue')
        .catch(() => undefined);
      if (current?.status !== 200) return [];
      const base = current.body.revision;
      const statuses = await Promise.all(
        [one, running.at(-1) ?? one].map((router, index) =>
          statusOf(fleet, router, 'PUT', '/admin/catalogue', {
            base,
            catalogue: raced(current.body, index),
          }),
        ),
      );
      const won = statuses.filter((status) => status < 300).length;
      return won > 1 ? [`two operators both changed revision ${base}`] : [];
    },
    heal: nothing,
  };
}

/** A change of the catalogue that differs between the operators but changes no promise. */
function raced(catalogue: object, index: number): object {
  const { teams } = catalogue as { teams: Record<string, { waitAlarm: number }> };
  const changed = Object.entries(teams).map(([name, team]) => {
    return [name, { ...team, waitAlarm: team.waitAlarm + 1 + index }];
  });
  return { ...catalogue, teams: Object.fromEntries(changed) as object };
}

/** Status of an admin request; 599 if no answer came. */
async function statusOf(
  fleet: Fleet,
  router: RouterHandle,
  method: 'POST' | 'PUT',
  path: string,
  body: object,
): Promise<number> {
  const answer = await fleet.admin(router, method, path, body).catch(() => undefined);
  return answer?.status ?? 599;
}
