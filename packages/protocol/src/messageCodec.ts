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
import { roundedNumber, tuple, taggedTuple, encodedList } from './positionalCodec.js';

const router = tuple<Router>(routerFields);

const permit = tuple<Permit>({
  id: name,
  server: name,
  fence: nonNegativeInteger,
  service: name,
  team: name,
  sequence: nonNegativeInteger,
});

const release = tuple<Release>({
  id: name,
  server: name,
  outcome: oneOf('used', 'unused', 'cancelled', 'refused', 'broken'),
  firstByte: nullable(roundedNumber),
  cost: roundedNumber,
});

const keeperState = tuple<KeeperState>(keeperStateFields);

const teamDemand = tuple<TeamDemand>({
  team: name,
  interactive: nonNegativeInteger,
  batch: nonNegativeInteger,
  estimate: roundedNumber,
  oldest: roundedNumber,
  level: roundedNumber,
  counted: nonNegativeInteger,
  weight: roundedNumber,
});

/** Any message of a batch. Encodes to a JSON list; errors name the path of the wrong value. */
export const messageCodec: Codec<Message> = taggedTuple<Message>({
  heartbeat: tuple<Heartbeat>({
    kind: oneOf('heartbeat'),
    router: router,
    revision: nonNegativeInteger,
    platform: flag,
    leaving: flag,
    keepers: encodedList(keeperState),
    floors: encodedList(tuple<LevelFloor>({ service: name, level: roundedNumber })),
    members: encodedList(router),
  }),
  demand: tuple<Demand>({
    kind: oneOf('demand'),
    service: name,
    complete: flag,
    teams: encodedList(teamDemand),
  }),
  grant: tuple<Grant>({ kind: oneOf('grant'), permits: encodedList(permit) }),
  started: tuple<FirstByteBatch>({
    kind: oneOf('started'),
    permits: encodedList(
      tuple<FirstByteReport>({ id: name, server: name, firstByte: roundedNumber }),
    ),
  }),
  release: tuple<ReleaseBatch>({ kind: oneOf('release'), permits: encodedList(release) }),
  revoke: tuple<Revoke>({ kind: oneOf('revoke'), server: name, permits: list(name) }),
  takeover: tuple<Takeover>({ kind: oneOf('takeover'), server: name, fence: nonNegativeInteger }),
  holding: tuple<HeldPermits>({
    kind: oneOf('holding'),
    server: name,
    fence: nonNegativeInteger,
    permits: encodedList(permit),
  }),
  handover: tuple<Handover>({
    kind: oneOf('handover'),
    server: name,
    fence: nonNegativeInteger,
    limit: nonNegativeInteger,
    permits: encodedList(permit),
  }),
  report: tuple<UsageReport>({
    kind: oneOf('report'),
    service: name,
    team: name,
    incarnation: name,
    sequence: nonNegativeInteger,
    charge: roundedNumber,
    chargeAtLevel: roundedNumber,
    level: roundedNumber,
    waiting: nonNegativeInteger,
    inFlight: nonNegativeInteger,
    share: roundedNumber,
    acknowledged: nonNegativeInteger,
  }),
  level: tuple<LevelUpdate>({
    kind: oneOf('level'),
    service: name,
    team: name,
    sequence: nonNegativeInteger,
    level: roundedNumber,
    share: roundedNumber,
  }),
});
