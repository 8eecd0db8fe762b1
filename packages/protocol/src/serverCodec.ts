// Codecs of what servers publish about themselves.

import type { Codec } from 'purify-ts';
import {
  amount,
  nonNegativeInteger,
  strictObject,
  flag,
  list,
  name,
  oneOf,
  text,
} from './codec.js';
import type { LoadReport, Order } from './server.js';

export const loadReportCodec: Codec<LoadReport> = strictObject<LoadReport>({
  boot: name,
  running: nonNegativeInteger,
  waiting: nonNegativeInteger,
  leaving: flag,
  models: list(text),
  age: amount,
});

export const orderCodec: Codec<Order> = strictObject<Order>({
  kind: oneOf('load'),
  model: name,
  fence: nonNegativeInteger,
});
