// The catalogue is the configuration document of the fleet, edited by operators: services, servers,
// teams and entries. It alone determines what the routers serve.

import type { Milliseconds } from './clock.js';
import type {
  DataCentreName,
  EntryName,
  Revision,
  ServerName,
  ServiceName,
  TeamName,
  VmName,
} from './identity.js';

/**
 * Priority class of a request: a person waits for the response to an `interactive` request, nobody
 * for a `batch` one.
 */
export type WorkClass = 'interactive' | 'batch';

/** A set of servers for one model or one application. */
export type Service = ModelService | PlainService;

interface ServiceLimits {
  /** Maximum number of requests in flight on a server during its cold start. */
  readonly coldLimit: number;
  /** Maximum number of requests in flight on a warm server. */
  readonly warmLimit: number;
}

export interface ModelService extends ServiceLimits {
  readonly kind: 'model';
  readonly model: string;
}

/** A service for an application, which runs no model. */
export interface PlainService extends ServiceLimits {
  readonly kind: 'plain';
}

/** A back end, which belongs to one service. `address` is `host:port` with an IP address. */
export interface Server {
  readonly service: ServiceName;
  readonly address: string;
  readonly vm: VmName;
  readonly dataCentre: DataCentreName;
  /** Whether the server rejects orders of keepers that carry an outdated fencing token. */
  readonly checksFence: boolean;
}

export interface TeamLimits {
  /** Maximum number of queued requests of the team at one router. */
  readonly waiting: number;
  /** Maximum total size in bytes of the bodies of the team's queued requests at one router. */
  readonly waitingBytes: number;
  /** Maximum number of the team's requests in flight per service, over the whole fleet. */
  readonly inFlight: number;
}

export interface Team {
  /** Weight of the team in fair queueing relative to other teams; positive. */
  readonly weight: number;
  /** SHA-256 hash of each accepted bearer key, in hexadecimal. */
  readonly keys: readonly string[];
  readonly limits: TeamLimits;
  /** An alarm is raised when the oldest queued request of the team has waited longer than this. */
  readonly waitAlarm: Milliseconds;
}

/**
 * The access of one team to one service. Callers address it by its name, in the path or, for a model,
 * in the `model` field of a chat request.
 */
export interface Entry {
  readonly team: TeamName;
  readonly service: ServiceName;
  readonly class: WorkClass;
  /** Whether it is safe to execute a request more than once. */
  readonly idempotent: boolean;
  /** Maximum time in the queue; a request that waits longer is refused with the verdict `notRun`. */
  readonly maxWait: Milliseconds;
  /** Maximum time that a request may run on a server. */
  readonly maxRun: Milliseconds;
}

/** Data centres and VMs whose servers are out of service. */
export interface Drain {
  readonly dataCentres: readonly DataCentreName[];
  readonly vms: readonly VmName[];
}

export interface Catalogue {
  readonly revision: Revision;
  readonly services: Readonly<Record<ServiceName, Service>>;
  readonly servers: Readonly<Record<ServerName, Server>>;
  readonly teams: Readonly<Record<TeamName, Team>>;
  readonly entries: Readonly<Record<EntryName, Entry>>;
  readonly drain: Drain;
}

/** The catalogue before its first change, without services and servers. */
export const emptyCatalogue: Catalogue = {
  revision: 0,
  services: {},
  servers: {},
  teams: {},
  entries: {},
  drain: { dataCentres: [], vms: [] },
};

/** Whether operators have drained the server's VM or data centre. */
export function isDrained(catalogue: Catalogue, server: Server): boolean {
  return (
    catalogue.drain.vms.includes(server.vm) ||
    catalogue.drain.dataCentres.includes(server.dataCentre)
  );
}

/** Names of the servers of a service, drained ones included. */
export function serversOf(catalogue: Catalogue, service: ServiceName): readonly ServerName[] {
  return Object.entries(catalogue.servers)
    .filter(([, server]) => server.service === service)
    .map(([name]) => name);
}
