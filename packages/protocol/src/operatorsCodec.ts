// Codecs of the admin API. Routers also send their status to each other in this form.

import type { Codec } from 'purify-ts';
import { catalogueChangeCodec } from './catalogueCodec.js';
import {
  amount,
  anything,
  count,
  exact,
  flag,
  list,
  name,
  nullable,
  oneOf,
  table,
  text,
} from './codec.js';
import type {
  Acceptance,
  ChangeRecord,
  FleetStatus,
  MemberStatus,
  RouterStatus,
  ServerStatus,
  TeamUsage,
} from './operators.js';
import { keeperStateCodec, routerCodec } from './peerCodec.js';

const teamUsage = exact<TeamUsage>({
  team: name,
  service: name,
  waiting: count,
  bytes: count,
  oldestWait: amount,
  inFlight: count,
  level: amount,
});

export const teamUsagesCodec: Codec<readonly TeamUsage[]> = list(teamUsage);

export const routerStatusCodec: Codec<RouterStatus> = exact<RouterStatus>({
  router: routerCodec,
  revision: count,
  leaving: flag,
  platform: flag,
  members: list(
    exact<MemberStatus>({
      router: routerCodec,
      phase: oneOf('alive', 'suspect', 'dead'),
      leaving: flag,
      platform: flag,
      revision: nullable(count),
      mayTakeWork: flag,
    }),
  ),
  servers: list(keeperStateCodec),
  teams: teamUsagesCodec,
});

export const fleetStatusCodec: Codec<FleetStatus> = exact<FleetStatus>({
  revision: count,
  routers: list(routerStatusCodec),
  unreachable: list(name),
});

export const serverStatusesCodec: Codec<readonly ServerStatus[]> = list(
  exact<ServerStatus>({
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

export const acceptanceCodec: Codec<Acceptance> = exact<Acceptance>({
  revision: count,
  missing: list(name),
});

export const changeRecordsCodec: Codec<readonly ChangeRecord[]> = list(
  exact<ChangeRecord>({
    revision: count,
    change: nullable(catalogueChangeCodec),
    author: text,
    at: text,
  }),
);

/** Any JSON object, such as the counters and gauges of a router. */
export const objectCodec: Codec<Readonly<Record<string, unknown>>> = table(anything);
