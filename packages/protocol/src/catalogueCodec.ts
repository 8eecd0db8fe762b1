// Codecs of the catalogue and its changes. They check types only; the catalogue's validation checks
// the references between its parts.

import type {
  Catalogue,
  CatalogueChange,
  CommittedChange,
  Drain,
  Entry,
  ModelService,
  PlainService,
  Server,
  Service,
  Team,
  TeamLimits,
} from '@catkinwheel/state';
import type { Codec } from 'purify-ts';
import type { CatalogueUpdate } from './catalogueUpdate.js';
import {
  nonNegativeInteger,
  strictObject,
  flag,
  taggedUnion,
  list,
  name,
  nullable,
  oneOf,
  positiveNumber,
  positiveInteger,
  recordOf,
  text,
  checkedValue,
} from './codec.js';

const sha256 = checkedValue(
  'a SHA-256 (64 hexadecimal digits)',
  (input): input is string => typeof input === 'string' && /^[0-9a-f]{64}$/.test(input),
);

const address = checkedValue(
  'an address host:port with an IP number',
  (input): input is string =>
    typeof input === 'string' &&
    /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/.test(input),
);

export const serviceCodec: Codec<Service> = taggedUnion<Service>({
  model: strictObject<ModelService>({
    kind: oneOf('model'),
    model: name,
    coldLimit: positiveInteger,
    warmLimit: positiveInteger,
  }),
  plain: strictObject<PlainService>({
    kind: oneOf('plain'),
    coldLimit: positiveInteger,
    warmLimit: positiveInteger,
  }),
});

export const serverCodec: Codec<Server> = strictObject<Server>({
  service: name,
  address,
  vm: name,
  dataCentre: name,
  checksFence: flag,
});

export const teamCodec: Codec<Team> = strictObject<Team>({
  weight: positiveNumber,
  keys: list(sha256),
  limits: strictObject<TeamLimits>({
    waiting: positiveInteger,
    waitingBytes: positiveInteger,
    inFlight: positiveInteger,
  }),
  waitAlarm: positiveNumber,
});

export const entryCodec: Codec<Entry> = strictObject<Entry>({
  team: name,
  service: name,
  class: oneOf('interactive', 'batch'),
  idempotent: flag,
  maxWait: positiveNumber,
  maxRun: positiveNumber,
});

export const drainCodec: Codec<Drain> = strictObject<Drain>({
  dataCentres: list(name),
  vms: list(name),
});

export const catalogueCodec: Codec<Catalogue> = strictObject<Catalogue>({
  revision: nonNegativeInteger,
  services: recordOf(serviceCodec),
  servers: recordOf(serverCodec),
  teams: recordOf(teamCodec),
  entries: recordOf(entryCodec),
  drain: drainCodec,
});

export const catalogueChangeCodec: Codec<CatalogueChange> = strictObject<CatalogueChange>({
  services: recordOf(nullable(serviceCodec)),
  servers: recordOf(nullable(serverCodec)),
  teams: recordOf(nullable(teamCodec)),
  entries: recordOf(nullable(entryCodec)),
  drain: nullable(drainCodec),
});

export const committedChangeCodec: Codec<CommittedChange> = strictObject<CommittedChange>({
  revision: positiveInteger,
  change: catalogueChangeCodec,
  author: text,
  at: text,
});

export const catalogueUpdateCodec: Codec<CatalogueUpdate> = taggedUnion<CatalogueUpdate>({
  changes: strictObject<Extract<CatalogueUpdate, { kind: 'changes' }>>({
    kind: oneOf('changes'),
    changes: list(committedChangeCodec),
  }),
  snapshot: strictObject<Extract<CatalogueUpdate, { kind: 'snapshot' }>>({
    kind: oneOf('snapshot'),
    catalogue: catalogueCodec,
  }),
});
