// Codecs of the statuses that routers exchange and operators' tools read.

import type { Codec } from 'purify-ts';
import { catalogueChangeCodec } from './catalogueCodec.js';
import {
  amount,
  anyValue,
  nonNegativeInteger,
  strictObject,
  flag,
  list,
  name,
  nullable,
  oneOf,
  table,
  text,
} from './codec.js';
import type {
  RolloutStatus,
  ChangeRecord,
  FleetStatus,
  MemberStatus,
  RouterStatus,
  ServerStatus,
  TeamUsage,
} from './operators.js';
import { keeperStateCodec, routerCodec } from './peerCodec.js';

const teamUsage = strictObject<TeamUsage>({
  team: name,
  service: name,
  waiting: nonNegativeInteger,
  bytes: nonNegativeInteger,
  oldestWait: amount,
  inFlight: nonNegativeInteger,
  level: amount,
});

export const teamUsagesCodec: Codec<readonly TeamUsage[]> = list(teamUsage);

export const routerStatusCodec: Codec<RouterStatus> = strictObject<RouterStatus>({
  router: routerCodec,
  revision: nonNegativeInteger,
  leaving: flag,
  platform: flag,
  members: list(
    strictObject<MemberStatus>({
      router: routerCodec,
      phase: oneOf('alive', 'suspect', 'dead'),
      leaving: flag,
      platform: flag,
      revision: nullable(nonNegativeInteger),
      mayTakeWork: flag,
    }),
  ),
  servers: list(keeperStateCodec),
  teams: teamUsagesCodec,
});

export const fleetStatusCodec: Codec<FleetStatus> = strictObject<FleetStatus>({
  revision: nonNegativeInteger,
  routers: list(routerStatusCodec),
  unreachable: list(name),
});

export const serverStatusesCodec: Codec<readonly ServerStatus[]> = list(
  strictObject<ServerStatus>({
    name,
    service: name,
    address: name,
    vm: name,
    dataCentre: name,
    checksFence: flag,
    drained: flag,
    keeper: nullable(name),
    state: nullable(keeperStateCodec),
  }),
);

export const rolloutStatusCodec: Codec<RolloutStatus> = strictObject<RolloutStatus>({
  revision: nonNegativeInteger,
  missing: list(name),
});

export const changeRecordsCodec: Codec<readonly ChangeRecord[]> = list(
  strictObject<ChangeRecord>({
    revision: nonNegativeInteger,
    change: nullable(catalogueChangeCodec),
    author: text,
    at: text,
  }),
);

/** Any JSON object, such as the counters and gauges of a router. */
export const objectCodec: Codec<Readonly<Record<string, unknown>>> = table(anyValue);
