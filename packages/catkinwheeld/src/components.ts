// Creates the components of a router and connects them. No periodic task is running yet when this is done.

import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import type { SecureContextOptions } from 'node:tls';
import {
  Admission,
  Baseline,
  CatalogueStore,
  ClaimSweep,
  Claims,
  Executor,
  Keepers,
  Ledger,
  Membership,
  Session,
  type EventLog,
  type PermitSource,
} from '@catkinwheel/coordination';
import { Clock, type Milliseconds, type Router } from '@catkinwheel/state';
import {
  Frontend,
  HttpBackend,
  HttpServerControl,
  Links,
  Meter,
  Platform,
  type PeerHandlers,
} from '@catkinwheel/transport';
import { Availability } from './availability.js';
import { dispatchMessage } from './messageDispatch.js';
import { routerStatusOf } from './adminSource.js';
import { sessionLivenessOf } from './sessionLiveness.js';
import type { Settings } from './settings.js';

const platformConnectTimeout: Milliseconds = 500;

/** Limits the memory for request bodies: at most this many of the maximum size are read at the same time. */
const maxConcurrentBodies = 64;

/** Addresses that a running router listens on, `host:port`. */
export interface Addresses {
  readonly callers: string;
  readonly peers: string;
  readonly admin: string;
}

/** A permit source with its own periodic work. */
interface RunnablePermitSource extends PermitSource {
  run(signal: AbortSignal): Promise<void>;
}

/** The connected components of one router. */
export interface Components {
  readonly clock: Clock;
  readonly meter: Meter;
  readonly eventLog: EventLog;
  readonly links: Links;
  readonly handlers: PeerHandlers;
  readonly membership: Membership;
  readonly session: Session;
  readonly keepers: Keepers;
  readonly ledger: Ledger;
  readonly store: CatalogueStore;
  /** Undefined under the baseline policies. */
  readonly admission: Admission | undefined;
  readonly permits: RunnablePermitSource;
  readonly availability: Availability;
  readonly sweep: ClaimSweep;
  readonly front: Frontend;
  readonly addresses: Addresses;
}

/**
 * Opens the listeners for callers and peers and creates the components. Rejects if an address is in
 * use or a TLS file cannot be read.
 */
export async function createComponents(
  settings: Settings,
  eventLog: EventLog,
): Promise<Components> {
  const clock = Clock.system();
  const meter = Meter.create(settings.statsd?.address, settings.statsd?.prefix);
  const links = await listenForPeers(settings, meter, eventLog);
  const platform = Platform.create({
    address: `http://${settings.platform.address}`,
    connectTimeout: platformConnectTimeout,
    requestTimeout: settings.platform.timeout,
  });
  // The components need this router's address, which is known only once the frontend listens. The
  // frontend therefore looks the components up here. No caller knows its address before they exist.
  const core: { current?: Core } = {};
  const front = createFrontend(settings, meter, () => requireCore(core.current));
  const callers = withPort(settings.listen.callers, await front.listen());
  const self: Router = {
    name: settings.router.name,
    incarnation: randomUUID(),
    vm: settings.router.vm,
    dataCentre: settings.router.dataCentre,
    address: settings.advertise.callers ?? callers,
    peerAddress: settings.advertise.peers ?? links.address,
  };
  core.current = createCore({ settings, self, clock, meter, eventLog, links, platform });
  const addresses = { callers, peers: links.address, admin: '' };
  return { ...core.current, clock, meter, eventLog, links, front, addresses };
}

/** The components that decide about requests, servers and membership. */
type Core = Omit<Components, 'clock' | 'meter' | 'eventLog' | 'links' | 'front' | 'addresses'> & {
  readonly executor: Executor;
};

interface CoreDependencies {
  readonly settings: Settings;
  readonly self: Router;
  readonly clock: Clock;
  readonly meter: Meter;
  readonly eventLog: EventLog;
  readonly links: Links;
  readonly platform: Platform;
}

function createCore(dependencies: CoreDependencies): Core {
  const { self, clock, meter: metrics, eventLog, links, platform } = dependencies;
  const random = Math.random;
  const shared = { self, clock, metrics, eventLog, random };
  const membership: Membership = Membership.create({
    ...shared,
    table: platform,
    outbox: links,
    links,
    keepers: () => keepers.states(),
    floors: () => ledger.floors(),
    revision: () => store.current().revision,
    platform: () => session.isHeld(),
  });
  const session = Session.create({ ...shared, table: platform, relay: links, members: membership });
  const table = session.table();
  const store: CatalogueStore = CatalogueStore.create({
    ...shared,
    self: self.name,
    table,
    objects: platform,
    peers: links,
    memberStates: () => membership.memberStates(),
    date: () => new Date().toISOString(),
  });
  const fleet = { ...shared, members: membership, outbox: links, catalogue: store };
  const keepers: Keepers = Keepers.create({
    ...fleet,
    session,
    table,
    vmList: platform,
    control: HttpServerControl.create(),
  });
  const ledger: Ledger = Ledger.create(fleet);
  const { permits, admission } = createPermitSource(dependencies.settings, fleet);
  const sessions = sessionLivenessOf(session);
  const claims = Claims.create({ ...shared, table, sessions });
  const sweep = ClaimSweep.create({ claims, catalogue: store, members: membership, clock });
  const backend = HttpBackend.create();
  const executor = Executor.create({ ...shared, catalogue: store, permits, backend, claims });
  const availability = Availability.create({ members: membership, session, catalogue: store });
  const handlers: PeerHandlers = {
    deliver: (from, message) => {
      dispatchMessage({ membership, keepers, ledger, admission }, from, message);
    },
    catalogueSince: (revision) => store.updateSince(revision),
    relay: (_from, transaction) => platform.transact(transaction),
    rows: (_from, prefix) => platform.rows(prefix),
    status: () => routerStatusOf({ membership, session, keepers, store, admission }),
    peerIdentified: (router) => {
      membership.addDiscovered(router);
    },
  };
  return {
    handlers,
    membership,
    session,
    keepers,
    ledger,
    store,
    admission,
    permits,
    availability,
    sweep,
    executor,
  };
}

type PermitSourceDependencies = Parameters<typeof Admission.create>[0] extends infer O
  ? Omit<O, 'limits'> & { readonly self: Router }
  : never;

function createPermitSource(
  settings: Settings,
  fleet: PermitSourceDependencies,
): { readonly permits: RunnablePermitSource; readonly admission: Admission | undefined } {
  const limits = { waitingBytes: settings.limits.queueBytes };
  if (settings.policy === 'fair') {
    const admission = Admission.create({ ...fleet, limits });
    return { permits: admission, admission };
  }
  const { members } = fleet;
  const permits = Baseline.create({
    ...fleet,
    self: fleet.self.name,
    routers: () => members.alive().map(({ name }) => name),
    policy: settings.policy,
    limits,
  });
  return { permits, admission: undefined };
}

function createFrontend(settings: Settings, metrics: Meter, core: () => Core): Frontend {
  const { host, port } = hostAndPort(settings.listen.callers);
  const { bodyBytes } = settings.limits;
  const tls = readTls(settings);
  return Frontend.create({
    host,
    port,
    metrics,
    directoryTtl: settings.timing.directoryTtl,
    limits: { bytes: bodyBytes, totalBytes: bodyBytes * maxConcurrentBodies },
    catalogue: { current: () => core().store.current() },
    status: {
      refusal: () => core().availability.refusal(),
      routers: () => core().availability.routers(),
    },
    run: (call, caller) => core().executor.run(call, caller),
    ...(tls === undefined ? {} : { tls }),
  });
}

async function listenForPeers(
  settings: Settings,
  metrics: Meter,
  eventLog: EventLog,
): Promise<Links> {
  const { secret, seeds } = settings.peers;
  const address = hostAndPort(settings.listen.peers);
  const links = await Links.listen({ ...address, secret, seeds, metrics, eventLog });
  return links.match(
    (value) => value,
    (error) => {
      throw new Error(`listen.peers: ${error}`);
    },
  );
}

/** Reads certificate and key; undefined without TLS. Throws if a file cannot be read. */
export function readTls({ tls }: Settings): SecureContextOptions | undefined {
  if (tls === undefined) return undefined;
  return { cert: readFileSync(tls.certificate), key: readFileSync(tls.key) };
}

/** Splits `host:port`; an IPv6 host loses its brackets. */
export function hostAndPort(address: string): { readonly host: string; readonly port: number } {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(separator + 1)) };
}

function withPort(address: string, port: number): string {
  return `${address.slice(0, address.lastIndexOf(':'))}:${port}`;
}

function requireCore(core: Core | undefined): Core {
  if (core === undefined) throw new Error('a caller connected before the router was ready');
  return core;
}
