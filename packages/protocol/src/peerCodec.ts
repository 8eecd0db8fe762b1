// Codecs of the identity of a router and of a keeper's state of a server, as JSON objects.

import type { Router } from '@catkinwheel/state';
import type { Codec } from 'purify-ts';
import { count, exact, name, oneOf, text, type Fields } from './codec.js';
import type { Hello, KeeperState } from './peer.js';

export const routerFields: Fields<Router> = {
  name,
  incarnation: name,
  vm: name,
  dataCentre: name,
  address: name,
  peerAddress: name,
};

export const routerCodec: Codec<Router> = exact(routerFields);

export const helloCodec: Codec<Hello> = exact<Hello>({
  version: count,
  secret: text,
  router: routerCodec,
});

export const keeperStateFields: Fields<KeeperState> = {
  server: name,
  service: name,
  fence: count,
  authority: oneOf('held', 'acting', 'none'),
  phase: oneOf('cold', 'warming', 'warm', 'leaving', 'suspect'),
  limit: count,
  inFlight: count,
  boot: text,
};

export const keeperStateCodec: Codec<KeeperState> = exact(keeperStateFields);
