// Codecs of a router's identity, of the hello, and of the state of a server as its keeper reports it,
// as JSON objects.

import type { Router } from '@catkinwheel/state';
import type { Codec } from 'purify-ts';
import { nonNegativeInteger, strictObject, name, oneOf, text, type Fields } from './codec.js';
import type { Hello, KeeperState } from './peer.js';

export const routerFields: Fields<Router> = {
  name,
  incarnation: name,
  vm: name,
  dataCentre: name,
  address: name,
  peerAddress: name,
};

export const routerCodec: Codec<Router> = strictObject(routerFields);

export const helloCodec: Codec<Hello> = strictObject<Hello>({
  version: nonNegativeInteger,
  secret: text,
  router: routerCodec,
});

export const keeperStateFields: Fields<KeeperState> = {
  server: name,
  service: name,
  fence: nonNegativeInteger,
  authority: oneOf('held', 'acting', 'none'),
  phase: oneOf('cold', 'warming', 'warm', 'leaving', 'suspect'),
  limit: nonNegativeInteger,
  inFlight: nonNegativeInteger,
  boot: text,
};

export const keeperStateCodec: Codec<KeeperState> = strictObject(keeperStateFields);
