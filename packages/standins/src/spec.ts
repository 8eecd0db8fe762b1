// Describes a fleet to start, and the catalogue that follows from it.

import { createHash } from 'node:crypto';
import type {
  Catalogue,
  DataCentreName,
  Entry,
  EntryName,
  Server,
  ServerName,
  Service,
  ServiceName,
  Team,
  TeamLimits,
  TeamName,
} from '@catkinwheel/state';
import type { EngineSettings } from './engine.js';
import type { PlainSettings } from './plain.js';

/** How routers share capacity: the design's way or one of the two baselines. */
export type Policy = 'fair' | 'equalShare' | 'local';

export interface TeamSpec {
  readonly name: TeamName;
  readonly weight: number;
  readonly entries: Readonly<Record<EntryName, Omit<Entry, 'team'>>>;
  readonly limits?: Partial<TeamLimits>;
}

export type ServiceSpec =
  | {
      readonly kind: 'model';
      readonly name: ServiceName;
      readonly servers: number;
      readonly settings: Partial<EngineSettings>;
    }
  | {
      readonly kind: 'plain';
      readonly name: ServiceName;
      readonly servers: number;
      readonly settings: Partial<PlainSettings>;
    };

export interface FleetSpec {
  readonly dataCentres: readonly DataCentreName[];
  readonly routers: number;
  readonly services: readonly ServiceSpec[];
  readonly teams: readonly TeamSpec[];
  readonly policy: Policy;
  /** Whether relays stand in front of the routers' peer ports and of the platform. */
  readonly relays: boolean;
  /** Address of a StatsD listener, if metrics are to be sent. */
  readonly statsd?: string;
}

/** Limits of a server without others in its settings; see `capacityDefaults`. */
const usualLimits = { coldLimit: 2, warmLimit: 16 };

const usualTeamLimits: TeamLimits = { waiting: 2_000, waitingBytes: 50_000_000, inFlight: 10_000 };
const waitAlarm = 60_000;

export const operatorToken = 'operator-token';
export const peerSecret = 'peer-secret';

/** The bearer key of a team. */
export function keyOf(team: TeamName): string {
  return `key-${team}`;
}

/** The data centre of the router or server with this number; they take turns. */
export function dataCentreOf(spec: FleetSpec, index: number): DataCentreName {
  return spec.dataCentres[index % spec.dataCentres.length] ?? '';
}

/** The names of all servers with their services, in order. */
export function serverNames(spec: FleetSpec): readonly (readonly [ServerName, ServiceSpec])[] {
  return spec.services.flatMap((service) =>
    Array.from({ length: service.servers }, (_, index) => {
      return [`${service.name}-${index + 1}`, service] as const;
    }),
  );
}

/** The catalogue of the fleet, with each server at its address. */
export function catalogueOf(
  spec: FleetSpec,
  addresses: ReadonlyMap<ServerName, string>,
): Omit<Catalogue, 'revision'> {
  return {
    services: Object.fromEntries(
      spec.services.map((service) => [service.name, serviceOf(service)]),
    ),
    servers: Object.fromEntries(
      serverNames(spec).map(([name, service], index) => [
        name,
        serverOf(spec, service, name, index, addresses.get(name) ?? ''),
      ]),
    ),
    teams: Object.fromEntries(spec.teams.map((team) => [team.name, teamOf(team)])),
    entries: Object.fromEntries(
      spec.teams.flatMap((team) =>
        Object.entries(team.entries).map(([name, entry]) => [name, { team: team.name, ...entry }]),
      ),
    ),
    drain: { dataCentres: [], vms: [] },
  };
}

function serviceOf(service: ServiceSpec): Service {
  const limits = {
    coldLimit: service.settings.cold ?? usualLimits.coldLimit,
    warmLimit: service.settings.warm ?? usualLimits.warmLimit,
  };
  switch (service.kind) {
    case 'model':
      return { kind: 'model', model: service.settings.model ?? 'letters', ...limits };
    case 'plain':
      return { kind: 'plain', ...limits };
  }
}

function serverOf(
  spec: FleetSpec,
  service: ServiceSpec,
  name: ServerName,
  index: number,
  address: string,
): Server {
  const checksFence = service.kind === 'model' && (service.settings.checksFence ?? true);
  const dataCentre = dataCentreOf(spec, index);
  return { service: service.name, address, vm: `vm-${name}`, dataCentre, checksFence };
}

function teamOf(team: TeamSpec): Team {
  const key = createHash('sha256').update(keyOf(team.name)).digest('hex');
  const limits = { ...usualTeamLimits, ...team.limits };
  return { weight: team.weight, keys: [key], limits, waitAlarm };
}
