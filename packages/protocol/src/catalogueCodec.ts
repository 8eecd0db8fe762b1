// Codecs of the catalogue and its changes. They check types; references between parts are checked
// by the catalogue's validation.

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
import type { CatalogueUpdate } from './catalogue.js';
import {
  nonNegativeInteger,
  strictObject,
  flag,
  kinds,
  list,
  name,
  nullable,
  oneOf,
  positive,
  positiveCount,
  table,
  text,
  value,
} from './codec.js';

const sha256 = value(
  'a SHA-256 (64 hexadecimal digits)',
  (input): input is string => typeof input === 'string' && /^[0-9a-f]{64}$/.test(input),
);

const address = value(
  'an address host:port with an IP number',
  (input): input is string =>
    typeof input === 'string' &&
    /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/.test(input),
);

export const serviceCodec: Codec<Service> = kinds<Service>({
  model: strictObject<ModelService>({
    kind: oneOf('model'),
    model: name,
    coldLimit: positiveCount,
    warmLimit: positiveCount,
  }),
  plain: strictObject<PlainService>({
    kind: oneOf('plain'),
    coldLimit: positiveCount,
    warmLimit: positiveCount,
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
  weight: positive,
  keys: list(sha256),
  limits: strictObject<TeamLimits>({
    waiting: positiveCount,
    waitingBytes: positiveCount,
    inFlight: positiveCount,
  }),
  waitAlarm: positive,
});

export const entryCodec: Codec<Entry> = strictObject<Entry>({
  team: name,
  service: name,
  class: oneOf('interactive', 'batch'),
  idempotent: flag,
  maxWait: positive,
  maxRun: positive,
});

export const drainCodec: Codec<Drain> = strictObject<Drain>({
  dataCentres: list(name),
  vms: list(name),
});

export const catalogueCodec: Codec<Catalogue> = strictObject<Catalogue>({
  revision: nonNegativeInteger,
  services: table(serviceCodec),
  servers: table(serverCodec),
  teams: table(teamCodec),
  entries: table(entryCodec),
  drain: drainCodec,
});

export const catalogueChangeCodec: Codec<CatalogueChange> = strictObject<CatalogueChange>({
  services: table(nullable(serviceCodec)),
  servers: table(nullable(serverCodec)),
  teams: table(nullable(teamCodec)),
  entries: table(nullable(entryCodec)),
  drain: nullable(drainCodec),
});

export const committedChangeCodec: Codec<CommittedChange> = strictObject<CommittedChange>({
  revision: positiveCount,
  change: catalogueChangeCodec,
  author: text,
  at: text,
});

export const catalogueUpdateCodec: Codec<CatalogueUpdate> = kinds<CatalogueUpdate>({
  changes: strictObject<Extract<CatalogueUpdate, { kind: 'changes' }>>({
    kind: oneOf('changes'),
    changes: list(committedChangeCodec),
  }),
  snapshot: strictObject<Extract<CatalogueUpdate, { kind: 'snapshot' }>>({
    kind: oneOf('snapshot'),
    catalogue: catalogueCodec,
  }),
});
