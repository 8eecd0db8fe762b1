// The codec of the messages between routers.

import type { Permit, Release, Router, FirstByteReport } from '@catkinwheel/state';
import type { Codec } from 'purify-ts';
import { nonNegativeInteger, flag, list, name, nullable, oneOf } from './codec.js';
import type {
  Demand,
  LevelFloor,
  Grant,
  Handover,
  Heartbeat,
  HeldPermits,
  KeeperState,
  LevelUpdate,
  Message,
  ReleaseBatch,
  FirstByteBatch,
  UsageReport,
  Revoke,
  Takeover,
  TeamDemand,
} from './peer.js';
import { keeperStateFields, routerFields } from './peerCodec.js';
import { rounded, row, rowKinds, rows } from './wire.js';

const router = row<Router>(routerFields);

const permit = row<Permit>({
  id: name,
  server: name,
  fence: nonNegativeInteger,
  service: name,
  team: name,
  sequence: nonNegativeInteger,
});

const release = row<Release>({
  id: name,
  server: name,
  outcome: oneOf('used', 'unused', 'cancelled', 'refused', 'broken'),
  firstByte: nullable(rounded),
  cost: rounded,
});

const keeperState = row<KeeperState>(keeperStateFields);

const teamDemand = row<TeamDemand>({
  team: name,
  interactive: nonNegativeInteger,
  batch: nonNegativeInteger,
  estimate: rounded,
  oldest: rounded,
  level: rounded,
  counted: nonNegativeInteger,
  weight: rounded,
});

/** Any message of a batch. Encodes to a JSON list; errors name the path of the wrong value. */
export const messageCodec: Codec<Message> = rowKinds<Message>({
  heartbeat: row<Heartbeat>({
    kind: oneOf('heartbeat'),
    router: router,
    revision: nonNegativeInteger,
    platform: flag,
    leaving: flag,
    keepers: rows(keeperState),
    floors: rows(row<LevelFloor>({ service: name, level: rounded })),
    members: rows(router),
  }),
  demand: row<Demand>({
    kind: oneOf('demand'),
    service: name,
    complete: flag,
    teams: rows(teamDemand),
  }),
  grant: row<Grant>({ kind: oneOf('grant'), permits: rows(permit) }),
  started: row<FirstByteBatch>({
    kind: oneOf('started'),
    permits: rows(row<FirstByteReport>({ id: name, server: name, firstByte: rounded })),
  }),
  release: row<ReleaseBatch>({ kind: oneOf('release'), permits: rows(release) }),
  revoke: row<Revoke>({ kind: oneOf('revoke'), server: name, permits: list(name) }),
  takeover: row<Takeover>({ kind: oneOf('takeover'), server: name, fence: nonNegativeInteger }),
  holding: row<HeldPermits>({
    kind: oneOf('holding'),
    server: name,
    fence: nonNegativeInteger,
    permits: rows(permit),
  }),
  handover: row<Handover>({
    kind: oneOf('handover'),
    server: name,
    fence: nonNegativeInteger,
    limit: nonNegativeInteger,
    permits: rows(permit),
  }),
  report: row<UsageReport>({
    kind: oneOf('report'),
    service: name,
    team: name,
    incarnation: name,
    sequence: nonNegativeInteger,
    charge: rounded,
    chargeAtLevel: rounded,
    level: rounded,
    waiting: nonNegativeInteger,
    inFlight: nonNegativeInteger,
    share: rounded,
    acknowledged: nonNegativeInteger,
  }),
  level: row<LevelUpdate>({
    kind: oneOf('level'),
    service: name,
    team: name,
    sequence: nonNegativeInteger,
    level: rounded,
    share: rounded,
  }),
});
